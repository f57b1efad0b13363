package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	hash, isObject := strings.CutPrefix(path, wire.ObjectPrefix)
	switch {
	case path == wire.CommitPath && method == fasthttp.MethodPost:
		s.handleCommit(ctx)
	case path == wire.ReadPath && method == fasthttp.MethodPost:
		s.handleRead(ctx)
	case isObject && method == fasthttp.MethodPut:
		s.handlePutObject(ctx, hash)
	case isObject && method == fasthttp.MethodGet:
		s.handleGetObject(ctx, hash)
	case path == wire.CountersPath && method == fasthttp.MethodGet:
		writeJSON(ctx, fasthttp.StatusOK, s.Counters())
	case path == wire.FaultsPath && method == fasthttp.MethodGet:
		writeJSON(ctx, fasthttp.StatusOK, s.Faults())
	case path == wire.FaultsPath && method == fasthttp.MethodPut:
		s.handleSetFaults(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, fmt.Sprintf("no handler for %s %s", method, path))
	}
}

// handleError responds to requests that could not be read.
func handleError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	writeError(ctx, status, err.Error())
}

func (s *Server) handleCommit(ctx *fasthttp.RequestCtx) {
	var commit wire.Commit
	if !readJSON(ctx, &commit) {
		return
	}
	out := s.execute(&platform.Request{Op: platform.OpCommit, Txn: commit.Txn()})
	if !writeFailure(ctx, &out) {
		return
	}
	status := fasthttp.StatusOK
	if out.result.Status == platform.Conflict {
		status = fasthttp.StatusConflict
	}
	writeJSON(ctx, status, wire.RowsOf(out.result.Rows))
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx) {
	var read wire.Read
	if !readJSON(ctx, &read) {
		return
	}
	out := s.execute(&platform.Request{Op: platform.OpRead, Keys: read.Keys, Prefixes: read.Prefixes})
	if writeFailure(ctx, &out) {
		writeJSON(ctx, fasthttp.StatusOK, wire.RowsOf(out.result.Rows))
	}
}

func (s *Server) handlePutObject(ctx *fasthttp.RequestCtx, hash string) {
	out := s.execute(&platform.Request{Op: platform.OpPutObject, Hash: hash, Object: ctx.PostBody()})
	if writeFailure(ctx, &out) {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	}
}

func (s *Server) handleGetObject(ctx *fasthttp.RequestCtx, hash string) {
	out := s.execute(&platform.Request{Op: platform.OpGetObject, Hash: hash})
	if !writeFailure(ctx, &out) {
		return
	}
	if out.result.Status == platform.NotFound {
		writeError(ctx, fasthttp.StatusNotFound, "no object "+hash)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(out.result.Object)
}

func (s *Server) handleSetFaults(ctx *fasthttp.RequestCtx) {
	var faults wire.Faults
	if !readJSON(ctx, &faults) {
		return
	}
	if faults.DelayMillis > MaxDelayMillis {
		writeError(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("delay_ms is %d, want 0 to %d", faults.DelayMillis, MaxDelayMillis))
		return
	}
	s.SetFaults(faults)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// writeFailure responds to operations that the server or the store refused, and
// closes the connection of those whose response is to be lost. For all other
// operations it returns true, and the caller must write the response.
func writeFailure(ctx *fasthttp.RequestCtx, out *outcome) bool {
	switch {
	case out.unavailable:
		writeError(ctx, fasthttp.StatusServiceUnavailable, "unavailable")
	case out.loseResponse:
		dropConnection(ctx)
	case out.result.Status == platform.Invalid:
		writeError(ctx, fasthttp.StatusBadRequest, out.result.Err)
	default:
		return true
	}
	return false
}

// dropConnection closes the connection without a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// readJSON decodes the body of a request into v. If the body is malformed, has unknown
// fields or has trailing data, it responds with status 400 and returns false.
func readJSON(ctx *fasthttp.RequestCtx, v any) bool {
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		if _, end := decoder.Token(); end != io.EOF {
			err = fmt.Errorf("data after the JSON value")
		}
	}
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed request: "+err.Error())
		return false
	}
	return true
}

func writeError(ctx *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(ctx, status, wire.Error{Error: reason})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
