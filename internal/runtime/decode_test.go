package runtime

import (
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp offers no way to stop these goroutines; some end by themselves within 10 s.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// Guards against a load header that makes the parser panic or whose value
// changes when it is passed on.
func FuzzLoadHeader(f *testing.F) {
	for _, s := range []string{"9/1/0", "", "//", "65536/0/0", "1/2/3/4", "-1/0/0"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		load, ok := parseLoad(value)
		if again, okAgain := parseLoad([]byte(formatLoad(load))); ok && (!okAgain || again != load) {
			t.Errorf("header %q was read as %v, and as %v after formatting", value, load, again)
		}
	})
}

// Guards against an announcement that makes the decoder panic or is accepted
// with values out of range.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"instance":"i","service":"s","version":"v","addr":"127.0.0.1:80","slots":9,"draining":false,"lease_ms":3000}`))
	f.Add([]byte(`{"instance":"i"}{}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAnnouncement(data)
		if err == nil && (a.Instance == "" || a.Slots == 0 || a.LeaseMillis > maxLeaseMillis) {
			t.Errorf("announcement %q was accepted as %+v", data, a)
		}
	})
}

// Guards against request headers that make the node panic or are read as a
// deadline of zero, which would mean no deadline.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("1000", "1", "2", "0", "i", "/x?y")
	f.Add("", "-1", "999", "x", "", "http://h/")
	f.Fuzz(func(t *testing.T, deadline, crashes, priority, depth, instance, target string) {
		var ctx fasthttp.RequestCtx
		h := &ctx.Request.Header
		h.Set(mesh.HeaderDeadline, deadline)
		h.Set(mesh.HeaderCrashes, crashes)
		h.Set(headerPriority, priority)
		h.Set(mesh.HeaderDepth, depth)
		h.Set(mesh.HeaderInstance, instance)
		if a, ok := parseForward(&ctx.Request, []byte(target)); ok && (a.DeadlineMillis == 0 || a.Priority >= mesh.Priorities) {
			t.Errorf("malformed request was accepted: %+v", a)
		}
		if a, ok := parseCall(&ctx, []byte(target)); ok && a.Path[0] != '/' {
			t.Errorf("malformed request was accepted: %+v", a)
		}
	})
}

type trivialStepper struct{ steps int }

func (s *trivialStepper) Step(*core.Event, *core.Ready) { s.steps++ }

// BenchmarkStepMutex and BenchmarkStepChannel compare two ways to serialise the
// steps of concurrent requests: a mutex and a channel to one goroutine.
func BenchmarkStepMutex(b *testing.B) {
	var mu sync.Mutex
	var out core.Ready
	stepper := &trivialStepper{}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var ev core.Event
		for pb.Next() {
			mu.Lock()
			stepper.Step(&ev, &out)
			mu.Unlock()
		}
	})
}

func BenchmarkStepChannel(b *testing.B) {
	type request struct {
		ev   *core.Event
		done chan struct{}
	}
	requests := make(chan request)
	go func() {
		var out core.Ready
		stepper := &trivialStepper{}
		for r := range requests {
			stepper.Step(r.ev, &out)
			r.done <- struct{}{}
		}
	}()
	defer close(requests)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := request{new(core.Event), make(chan struct{}, 1)}
		for pb.Next() {
			requests <- r
			<-r.done
		}
	})
}
