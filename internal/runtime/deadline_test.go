package runtime

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a backend server that is given more time than the call has
// left after waiting in the gate's queue.
func TestDeadlineShrinksInQueue(t *testing.T) {
	is := is.New(t)
	const limit, wait = 2 * time.Second, 100 * time.Millisecond
	remaining := make(chan int, 1)
	backend := startBackend(t, func(ctx *fasthttp.RequestCtx) {
		ms, _ := strconv.Atoi(string(ctx.Request.Header.Peek(mesh.HeaderDeadline)))
		remaining <- ms
		echoBody(ctx)
	})
	var queued core.GateEffect
	var arrived mesh.Time
	gate := startNode(t, "gate", &fakeStepper{intercept: func(ev *core.Event, out *core.Ready) bool {
		switch {
		case ev.Kind == core.KindGateArrived:
			arrived = ev.Now
			queued = core.GateEffect{
				Call: ev.Gate.Call, Action: core.GateDispatch, Addr: backend,
				Deadline: ev.Now.Add(time.Duration(ev.Gate.DeadlineMillis) * time.Millisecond),
			}
		case queued.Call != 0 && ev.Now.Sub(arrived) >= wait:
			out.Gates = append(out.Gates, queued)
			queued = core.GateEffect{}
		}
		return ev.Kind != core.KindDrain
	}})
	entry := startNode(t, "entry", &fakeStepper{intercept: func(ev *core.Event, out *core.Ready) bool {
		if ev.Kind == core.KindCallArrived {
			is.Equal(ev.Call.DeadlineMillis, uint32(limit.Milliseconds()))
			out.Calls = append(out.Calls, core.CallEffect{
				Call: ev.Call.Call, Action: core.CallForward, Attempt: 1, Host: "gate", Addr: gate.peerAddr, Instance: "i", Deadline: ev.Now.Add(limit),
			})
			return true
		}
		if ev.Kind == core.KindAttemptDone {
			out.Calls = append(out.Calls, core.CallEffect{Call: ev.Attempt.Call, Action: core.CallRespond, Attempt: 1})
		}
		return ev.Kind != core.KindDrain
	}})
	resp := post(t, entry.callAddr, "/x", "", mesh.HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	is.Equal(resp.outcome, "answered")
	is.True(receive(t, remaining) <= int((limit - wait).Milliseconds()))
}

// Guards against a queued call that stays queued after its deadline, and
// against a late dispatch that runs it after the outcome "not run" was
// returned.
func TestQueuedCallIsCancelledAtItsDeadline(t *testing.T) {
	is := is.New(t)
	ran, cancelled := make(chan struct{}, 1), make(chan mesh.CallID, 1)
	backend := startBackend(t, func(*fasthttp.RequestCtx) { ran <- struct{}{} })
	var call mesh.CallID
	gate := startNode(t, "gate", &fakeStepper{intercept: func(ev *core.Event, out *core.Ready) bool {
		switch ev.Kind {
		case core.KindGateArrived:
			call = ev.Gate.Call
		case core.KindGateCancelled:
			cancelled <- ev.CallID
			out.Gates = append(out.Gates, core.GateEffect{Call: call, Action: core.GateDispatch, Addr: backend, Deadline: ev.Now.Add(testTimeout)})
		}
		return ev.Kind != core.KindDrain
	}})
	resp := post(t, gate.peerAddr, "/forward/x", "", mesh.HeaderDeadline, "10", mesh.HeaderInstance, "i")
	is.Equal(resp.outcome, "not-run")
	is.Equal(resp.reason, "deadline")
	is.Equal(receive(t, cancelled), call)
	is.Equal(len(ran), 0)
	is.Equal(gate.opts.Metrics.LateEffects.Load(), int64(1))
}

// Guards against a relayed call that loses its identity, its response or its
// outcome, or that the other node may relay again.
func TestRelay(t *testing.T) {
	is := is.New(t)
	relayed := make(chan bool, 1)
	otherStep := &fakeStepper{targetHost: "b", backendAddr: startBackend(t, echoBody)}
	otherStep.intercept = func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindCallArrived {
			relayed <- ev.Call.Relayed && string(ev.Call.RequestID) == "id" && string(ev.Call.Path) == "/x"
		}
		return false
	}
	other := startNode(t, "b", otherStep)
	targets := []string{other.peerAddr, closedAddr(t)}
	entry := startNode(t, "a", &fakeStepper{intercept: func(ev *core.Event, out *core.Ready) bool {
		switch {
		case ev.Kind == core.KindCallArrived:
			out.Calls = append(out.Calls, core.CallEffect{
				Call: ev.Call.Call, Action: core.CallRelay, Attempt: 1, Host: "b", Addr: targets[0], Deadline: ev.Now.Add(testTimeout),
			})
			targets = targets[1:]
		case ev.Kind == core.KindAttemptDone && ev.Attempt.Outcome != mesh.Answered:
			out.Calls = append(out.Calls, core.CallEffect{
				Call: ev.Attempt.Call, Action: core.CallReject, Outcome: mesh.NotRun, Reason: mesh.ReasonNoConfiguration,
			})
		}
		return ev.Kind != core.KindDrain
	}})
	resp := post(t, entry.callAddr, "/x?y", "body", mesh.HeaderRequestID, "id")
	is.Equal(resp.body, "POST /x?y body")
	is.Equal(resp.outcome, "answered")
	is.True(receive(t, relayed))
	is.Equal(post(t, entry.callAddr, "/x", "").reason, "configuration-unknown")
}
