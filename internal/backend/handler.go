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

// Paths of the server's own endpoints. Requests for all other paths are calls.
const (
	HealthPath   = "/health"
	ExecutedPath = "/executed"
)

// maxDeadline is the upper limit of the time to the deadline of a call.
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

// handleError answers requests that the HTTP server could not read.
func handleError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	refuse(ctx, status, mesh.NotRun, mesh.ReasonBadRequest)
}

// handleExecuted answers with the number of runs by request identity. Identities
// that ran fewer times than the query argument min are left out.
func (s *Server) handleExecuted(ctx *fasthttp.RequestCtx) {
	minRuns := 1
	if text := ctx.QueryArgs().Peek("min"); len(text) > 0 {
		n, err := strconv.Atoi(string(text))
		if err != nil || n < 1 {
			refuse(ctx, fasthttp.StatusBadRequest, mesh.NotRun, mesh.ReasonBadRequest)
			return
		}
		minRuns = n
	}
	writeJSON(ctx, s.record.snapshot(minRuns))
}

func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	remaining, err := remainingTime(ctx)
	if err != nil {
		s.record.countRefused()
		refuse(ctx, fasthttp.StatusBadRequest, mesh.NotRun, mesh.ReasonBadRequest)
		return
	}
	deadline := time.NewTimer(remaining)
	defer deadline.Stop()
	inUse, err := s.slots.acquire(deadline.C)
	if err != nil {
		s.record.countRefused()
		refuse(ctx, fasthttp.StatusServiceUnavailable, mesh.NotRun, refusalReason(err))
		return
	}
	defer s.slots.release()
	s.run(ctx, inUse, deadline.C)
}

// remainingTime returns the time to the deadline of the call as its header gives
// it, at most maxDeadline, or maxDeadline without that header.
func remainingTime(ctx *fasthttp.RequestCtx) (time.Duration, error) {
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

func refusalReason(err error) mesh.Reason {
	switch {
	case errors.Is(err, errDraining):
		return mesh.ReasonDraining
	case errors.Is(err, errDeadlinePassed):
		return mesh.ReasonDeadline
	default:
		return mesh.ReasonOverload
	}
}

// run executes a call that holds a slot. From here on the request may have
// run, whatever the answer is.
func (s *Server) run(ctx *fasthttp.RequestCtx, inUse int, deadline <-chan time.Time) {
	id := ctx.Request.Header.Peek(mesh.HeaderRequestID)
	s.record.countRun(string(id))
	if marker := s.settings.CrashMarker; marker != "" && bytes.Contains(ctx.PostBody(), []byte(marker)) {
		s.log.Error("request body contains the crash marker; crashing", "request", string(id))
		s.crash()
	}
	plan := s.behaviour.planFor(time.Since(s.started), inUse, ctx.Path())
	switch simulateWork(ctx.Conn(), plan.serviceTime, deadline) {
	case workCancelled:
		s.record.countCancelled()
		refuse(ctx, fasthttp.StatusServiceUnavailable, mesh.MayHaveRun, mesh.ReasonConnectionLost)
	case workExpired:
		s.record.countExpired()
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

// refuse answers a call with an outcome and a reason instead of a result.
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
