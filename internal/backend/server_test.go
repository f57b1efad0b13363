package backend

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/backend/echo"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func keepSettings(*settings.Backend) {}

func setEndlessServiceTime(s *settings.Backend) { s.ServiceTime.Mean = endlessServiceTime }

// Guards against an answer that does not identify the request it belongs to.
func TestAnswerEchoesTheRequest(t *testing.T) {
	is := is.New(t)
	r := startServer(t, keepSettings)
	got := r.call("POST", "/orders?x=1", "body", mesh.HeaderRequestID, "d.1")
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	want := echo.Digest([]byte("POST"), []byte("/orders?x=1"), []byte("d.1"), []byte("body"))
	a, err := echo.Check(got.body, want)
	is.NoErr(err)
	is.Equal(a, echo.Answer{Instance: "i1", Version: "2.0", Digest: want})
	_, err = echo.Check(got.body, echo.Digest([]byte("POST"), []byte("/orders?x=1"), []byte("d.2"), []byte("body")))
	is.True(err != nil)
	_, err = echo.Check(got.body[:len(got.body)-1], want)
	is.True(err != nil)
}

// Guards against a request that runs twice without being counted twice.
func TestExecutedCountsRunsByIdentity(t *testing.T) {
	is := is.New(t)
	r := startServer(t, keepSettings)
	for _, id := range []string{"d.1", "d.2", "d.1"} {
		r.call("POST", "/orders", "", mesh.HeaderRequestID, id)
	}
	r.call("GET", "/orders", "")
	var executed Executed
	is.NoErr(json.Unmarshal(r.call("GET", ExecutedPath, "").body, &executed))
	is.Equal(executed, Executed{Runs: 4, WithoutIdentity: 1, Counts: map[string]int{"d.1": 2, "d.2": 1}})
	is.NoErr(json.Unmarshal(r.call("GET", ExecutedPath+"?min=2", "").body, &executed))
	is.Equal(r.call("GET", ExecutedPath+"?min=x", "").status, 400)
}

// Guards against a refused call that is run or not marked as not run
// (guarantee G6).
func TestFullServerShedsBeforeRunning(t *testing.T) {
	is := is.New(t)
	r := startServer(t, setEndlessServiceTime)
	conn := r.occupySlot(t)
	defer conn.Close()
	got := r.call("POST", "/orders", "", mesh.HeaderRequestID, "d.1")
	is.Equal([]any{got.status, got.outcome, got.reason}, []any{503, "not-run", "overload"})
	is.Equal(r.server.record.snapshot(1).Counts, map[string]int{"hold": 1})
}

// Guards against a call that waits or runs past its deadline, and against a call
// that expired while running but is reported as not run.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	r := startServer(t, func(s *settings.Backend) { setEndlessServiceTime(s); s.QueueLength = 1 })
	got := r.call("GET", "/a", "", mesh.HeaderDeadline, "30")
	is.Equal([]any{got.status, got.outcome, got.reason}, []any{504, "may-have-run", "deadline"})
	conn := r.occupySlot(t)
	defer conn.Close()
	got = r.call("GET", "/a", "", mesh.HeaderDeadline, "30")
	is.Equal([]any{got.status, got.outcome, got.reason}, []any{503, "not-run", "deadline"})
	got = r.call("GET", "/a", "", mesh.HeaderDeadline, "soon")
	is.Equal([]any{got.status, got.outcome, got.reason}, []any{400, "not-run", "bad-request"})
}

// Guards against a slot that stays in use after its caller has closed the
// connection, and against a queue whose next call does not get the slot.
func TestCancellationFreesTheSlot(t *testing.T) {
	is := is.New(t)
	r := startServer(t, func(s *settings.Backend) { setEndlessServiceTime(s); s.QueueLength = 1 })
	conn := r.occupySlot(t)
	queued := r.openCall(t, "d.2")
	defer queued.Close()
	r.waitUntil(t, func() bool { return r.server.slots.current().Queued == 1 })
	is.NoErr(conn.Close())
	r.waitUntil(t, func() bool { return r.server.record.snapshot(1).Counts["d.2"] == 1 })
	is.Equal(r.server.record.snapshot(1).Cancelled, uint64(1))
}

// Guards against an oversized body that is read or run.
func TestOversizedBodyIsRefused(t *testing.T) {
	is := is.New(t)
	r := startServer(t, keepSettings)
	got := r.call("POST", "/a", strings.Repeat("x", r.server.settings.BodyBytes+1))
	is.True(got.err != nil || got.status == 413)
	is.Equal(r.server.record.snapshot(1).Runs, uint64(0))
}

// Guards against announcements that are incomplete, so that nodes cannot use the
// server, or that are not repeated, so that its lease expires.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	r := startServer(t, keepSettings)
	want := core.Announcement{Instance: "i1", Service: "depot", Version: "2.0", Addr: r.addr, Slots: 1, LeaseMillis: 1000}
	for range 3 {
		is.Equal(<-r.announcements, want)
	}
}

// Guards against a planned stop that interrupts a call or accepts new ones
// (guarantees G8 and G9).
func TestStopFinishesCallsInProgress(t *testing.T) {
	is := is.New(t)
	r := startServer(t, func(s *settings.Backend) { s.CrashMarker = "wait" })
	r.crashes <- struct{}{}
	inProgress := r.callInBackground("/a", "wait")
	r.waitUntil(t, func() bool { return r.server.slots.current().InUse == 1 })
	r.stop()
	for !(<-r.announcements).Draining {
	}
	got := r.call("GET", "/b", "")
	is.Equal([]any{got.status, got.outcome, got.reason}, []any{503, "not-run", "draining"})
	<-r.crashes
	finished := <-inProgress
	is.NoErr(finished.err)
	is.Equal(finished.status, 200)
	is.NoErr(<-r.done)
	is.Equal(r.server.record.snapshot(1).Runs, uint64(1))
}

// Guards against a crash marker that causes no crash, and against a crash without
// the marker.
func TestCrashMarker(t *testing.T) {
	is := is.New(t)
	r := startServer(t, func(s *settings.Backend) { s.CrashMarker = "crash-here" })
	r.call("POST", "/a", "crash")
	is.Equal(len(r.crashes), 0)
	r.call("POST", "/a", "x crash-here x")
	is.Equal(len(r.crashes), 1)
}

// Guards against injected faults that are answered with a success status, and
// against faults outside their path prefix.
func TestFailingVersion(t *testing.T) {
	is := is.New(t)
	r := startServer(t, func(s *settings.Backend) {
		s.Fault = settings.BackendFault{Mode: settings.FailMode, PathPrefix: "/bad", Share: 1}
	})
	is.Equal(r.call("GET", "/bad/1", "").status, 500)
	is.Equal(r.call("GET", "/good", "").status, 200)
}
