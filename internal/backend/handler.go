package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/backend/echo"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Paths that the server answers itself. All other paths are calls.
const (
	HealthPath   = "/health"
	ExecutedPath = "/executed"
)

// maxDeadline bounds the deadline of a call.
const maxDeadline = time.Hour

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case HealthPath:
		writeJSON(ctx, s.health.report(time.Now(), s.slots.current()))
	case ExecutedPath:
		s.handleExecuted(ctx)
	default:
		s.handleCall(ctx)
	}
}

// handleError answers requests that could not be read.
func handleError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	refuse(ctx, status, mesh.NotRun, mesh.ReasonBadRequest)
}

// handleExecuted answers with the runs by identity. The argument min leaves
// out identities that ran fewer times.
func (s *Server) handleExecuted(ctx *fasthttp.RequestCtx) {
	least := 1
	if text := ctx.QueryArgs().Peek("min"); len(text) > 0 {
		n, err := strconv.Atoi(string(text))
		if err != nil || n < 1 {
			refuse(ctx, fasthttp.StatusBadRequest, mesh.NotRun, mesh.ReasonBadRequest)
			return
		}
		least = n
	}
	writeJSON(ctx, s.record.snapshot(least))
}

func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	limit, err := deadlineOf(ctx)
	if err != nil {
		s.record.refused()
		refuse(ctx, fasthttp.StatusBadRequest, mesh.NotRun, mesh.ReasonBadRequest)
		return
	}
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	inUse, err := s.slots.acquire(deadline.C)
	if err != nil {
		s.record.refused()
		refuse(ctx, fasthttp.StatusServiceUnavailable, mesh.NotRun, reasonOf(err))
		return
	}
	defer s.slots.release()
	s.run(ctx, inUse, deadline.C)
}

// deadlineOf returns the remaining time that the call grants.
func deadlineOf(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := ctx.Request.Header.Peek(mesh.HeaderDeadline)
	if len(text) == 0 {
		return maxDeadline, nil
	}
	millis, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", mesh.HeaderDeadline, err)
	}
	return min(time.Duration(millis)*time.Millisecond, maxDeadline), nil
}

func reasonOf(err error) mesh.Reason {
	switch {
	case errors.Is(err, errDraining):
		return mesh.ReasonDraining
	case errors.Is(err, errDeadline):
		return mesh.ReasonDeadline
	default:
		return mesh.ReasonOverload
	}
}

// run executes a call that holds a slot. From here on the request may have
// run, whatever the answer is.
func (s *Server) run(ctx *fasthttp.RequestCtx, inUse int, deadline <-chan time.Time) {
	id := ctx.Request.Header.Peek(mesh.HeaderRequestID)
	s.record.run(string(id))
	if marker := s.settings.CrashMarker; marker != "" && bytes.Contains(ctx.PostBody(), []byte(marker)) {
		s.log.Error("request holds the crash marker", "request", string(id))
		s.crash()
	}
	plan := s.behaviour.planFor(time.Since(s.started), inUse, ctx.Path())
	switch work(ctx.Conn(), plan.serviceTime, deadline) {
	case workCancelled:
		s.record.cancelled()
		refuse(ctx, fasthttp.StatusServiceUnavailable, mesh.MayHaveRun, mesh.ReasonConnectionLost)
	case workExpired:
		s.record.expired()
		refuse(ctx, fasthttp.StatusGatewayTimeout, mesh.MayHaveRun, mesh.ReasonDeadline)
	default:
		s.answer(ctx, id, plan.fail)
	}
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, id []byte, fail bool) {
	writeJSON(ctx, echo.Answer{
		Instance: s.settings.Instance,
		Version:  s.settings.Version,
		Digest:   echo.Digest(ctx.Method(), ctx.RequestURI(), id, ctx.PostBody()),
	})
	ctx.Response.Header.Set(mesh.HeaderVersion, string(s.settings.Version))
	if fail {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// refuse answers a call without a result.
func refuse(ctx *fasthttp.RequestCtx, status int, outcome mesh.Outcome, reason mesh.Reason) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(mesh.HeaderOutcome, outcome.String())
	ctx.Response.Header.Set(mesh.HeaderReason, reason.String())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
