package runtime

import (
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/telemetry"
)

// receive returns the next value from a channel or fails the test after
// testTimeout.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("received nothing within testTimeout")
		panic("unreachable")
	}
}

// Guards against envelopes that arrive out of order or without a clock
// timestamp, and against a lost envelope that is not reported to the reducer.
func TestEnvelopeDelivery(t *testing.T) {
	is := is.New(t)
	got, failed := make(chan core.Envelope, 64), make(chan struct{}, 64)
	receiver := startNode(t, "b", &fakeStepper{intercept: func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindEnvelope {
			got <- *ev.Envelope
		}
		return false
	}})
	targets := []string{receiver.controlAddr, closedAddr(t)}
	sent := 0
	sender := startNode(t, "a", &fakeStepper{intercept: func(ev *core.Event, out *core.Ready) bool {
		if ev.Kind == core.KindSendFailed {
			failed <- struct{}{}
		}
		if ev.Kind == core.KindTick && sent < 5 {
			sent++
			for _, addr := range targets {
				out.Sends = append(out.Sends, core.Send{Addr: addr, Envelope: core.Envelope{From: "a", Incarnation: mesh.Incarnation(sent)}})
			}
		}
		return false
	}})
	var last uint64
	for i := range 5 {
		env := receive(t, got)
		is.Equal(env.Incarnation, mesh.Incarnation(i+1))
		is.True(env.Clock > last)
		last = env.Clock
		receive(t, failed)
	}
	is.True(sender.opts.Metrics.ControlBytesTotal(telemetry.Sent, telemetry.CauseDeliver) > 0)
	is.True(receiver.opts.Metrics.ControlBytesTotal(telemetry.Received, telemetry.CauseDeliver) > 0)
}

// Guards against a lost operator reply, a lost platform result and a timeline
// that operators cannot read.
func TestOperatorPlatformAndTimeline(t *testing.T) {
	is := is.New(t)
	var pending uint64
	n := startNode(t, "a", &fakeStepper{intercept: func(ev *core.Event, out *core.Ready) bool {
		switch ev.Kind {
		case core.KindOperator:
			pending = ev.Operator.ID
			out.Timeline = append(out.Timeline, core.TimelineEntry{Kind: "operator", Config: 3})
			out.Platform = append(out.Platform, core.PlatformRequest{
				Owner: core.OwnerMoves, Request: platform.Request{ID: 7, Op: platform.OpRead, Keys: []string{"head"}},
			})
		case core.KindPlatform:
			r := ev.Platform
			if r.Owner == core.OwnerMoves && r.Result.ID == 7 && r.Result.Op == platform.OpRead {
				out.Replies = append(out.Replies, core.OperatorReply{ID: pending, Err: r.Result.Rows[0].Key})
			}
		}
		return false
	}})
	client, err := rpc.Dial("tcp", n.controlAddr)
	is.NoErr(err)
	defer client.Close()
	var reply core.OperatorReply
	is.NoErr(client.Call(methodOperator, core.OperatorRequest{ID: 99}, &reply))
	is.Equal(reply.Err, "head")
	var entries TimelineReply
	is.NoErr(client.Call(methodTimeline, TimelineRequest{}, &entries))
	is.Equal(len(entries.Entries), 1)
	is.Equal(entries.Entries[0].Recorder, mesh.HostID("a"))
}

// Guards against a malformed or oversized control message that ends the process
// or allocates unbounded memory.
func TestBadControlMessages(t *testing.T) {
	is := is.New(t)
	n := startNode(t, "a", &fakeStepper{})
	big := strings.Repeat("x", 2*n.opts.MaxControlBytes)
	client, err := rpc.Dial("tcp", n.controlAddr)
	is.NoErr(err)
	is.True(client.Call(methodDeliver, core.Envelope{From: mesh.HostID(big)}, new(Ack)) != nil)
	_ = client.Close()
	for _, garbage := range []string{"\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n", "\x03\x01"} {
		c, err := net.Dial("tcp", n.controlAddr)
		is.NoErr(err)
		_, err = c.Write([]byte(garbage))
		is.NoErr(err)
		is.NoErr(c.(*net.TCPConn).CloseWrite())
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		_, err = c.Read(make([]byte, 1))
		is.True(err != nil)
		_ = c.Close()
	}
	client, err = rpc.Dial("tcp", n.controlAddr)
	is.NoErr(err)
	defer client.Close()
	is.NoErr(client.Call(methodDeliver, core.Envelope{From: "b"}, new(Ack)))
	is.True(n.opts.Metrics.BadControl.Load() > 0)
}
