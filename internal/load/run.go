// Package load is an open-loop load generator: it sends calls at a fixed rate,
// whether or not earlier ones have been answered, checks that each answer
// belongs to its request, and reports latency per kind of request.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// clientIdleTime is the time after which an unused connection is closed.
const clientIdleTime = 30 * time.Second

// generator is one run.
type generator struct {
	settings *settings.LoadGenerator
	client   *fasthttp.Client
	recorder *recorder
	random   *rand.Rand // used by the scheduling goroutine alone
	weights  int
	calls    sync.WaitGroup
	inFlight atomic.Int64
}

// plan is what the scheduler has decided about one call.
type plan struct {
	due     time.Time
	kind    int
	target  int
	resend  int // index of the target for the second send, or -1
	request *request
	// direct is the request for the backend server, under an identity of its
	// own. It is nil without a paired comparison.
	direct *request
	// counted is false during the warm-up.
	counted bool
}

// Run sends calls until the duration or the context ends, waits for their
// answers and returns the report. The settings have been checked by their
// parser.
func Run(ctx context.Context, s *settings.LoadGenerator) (*Report, error) {
	g := &generator{
		settings: s, recorder: newRecorder(s), random: rand.New(rand.NewPCG(s.Seed, 1)),
		client: &fasthttp.Client{
			MaxConnsPerHost: s.Connections, MaxConnWaitTimeout: s.Timeout, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: clientIdleTime,
			RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader: true,
		},
	}
	defer g.client.CloseIdleConnections()
	for i := range s.Requests {
		g.weights += s.Requests[i].Weight
	}
	start := time.Now()
	err := g.schedule(ctx, start)
	elapsed := time.Since(start) - s.Warmup
	g.calls.Wait()
	return g.recorder.finish(elapsed), err
}

// schedule starts each call when it is due. A late scheduler does not shift the
// times at which later calls are due.
func (g *generator) schedule(ctx context.Context, start time.Time) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	total := int(g.settings.RatePerSecond * g.settings.Duration.Seconds())
	for i := range total {
		due := start.Add(time.Duration(float64(i) / g.settings.RatePerSecond * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if err := g.start(due, due.Sub(start) >= g.settings.Warmup); err != nil {
			return err
		}
	}
	return nil
}

func (g *generator) start(due time.Time, counted bool) error {
	p, err := g.plan(due, counted)
	if err != nil {
		return err
	}
	if g.inFlight.Load() >= int64(g.settings.MaxInFlight) {
		if counted {
			g.recorder.update(func(r *Report) { r.Dropped++ })
		}
		return nil
	}
	g.spawn(func() { g.viaNodes(&p) })
	if p.direct != nil {
		g.spawn(func() {
			v := g.send(p.direct, g.settings.Direct, true)
			g.record(&p, g.recorder.report.Direct[p.kind], v, time.Since(p.due))
		})
	}
	return nil
}

func (g *generator) spawn(call func()) {
	g.inFlight.Add(1)
	g.calls.Go(func() {
		defer g.inFlight.Add(-1)
		call()
	})
}

func (g *generator) plan(due time.Time, counted bool) (plan, error) {
	targets := g.settings.Targets
	p := plan{due: due, target: g.random.IntN(len(targets)), resend: -1, counted: counted}
	for pick := g.random.IntN(g.weights); pick >= g.settings.Requests[p.kind].Weight; p.kind++ {
		pick -= g.settings.Requests[p.kind].Weight
	}
	kind := &g.settings.Requests[p.kind]
	if g.random.Float64() < kind.ResendShare {
		p.resend = (p.target + 1) % len(targets)
	}
	var err error
	if p.request, err = newRequest(kind, g.settings.FailureDomain, g.random); err == nil && g.settings.Direct != "" {
		p.direct, err = newRequest(kind, g.settings.FailureDomain, g.random)
	}
	return p, err
}

// viaNodes sends the call to its target and, if planned, a second time under
// the same identity to another one. The second send follows the end of the
// first.
func (g *generator) viaNodes(p *plan) {
	series := g.recorder.report.Nodes[p.kind]
	first := g.send(p.request, g.settings.Targets[p.target], false)
	g.record(p, series, first, time.Since(p.due))
	if p.resend < 0 {
		return
	}
	resent := time.Now()
	second := g.send(p.request, g.settings.Targets[p.resend], false)
	g.record(p, series, second, time.Since(resent))
	if !p.counted {
		return
	}
	g.recorder.update(func(r *Report) {
		r.Resent++
		if ran(first) && ran(second) {
			r.AnsweredTwice++
		}
	})
}

// record counts a send unless it belongs to the warm-up.
func (g *generator) record(p *plan, series *Series, v verdict, latency time.Duration) {
	if p.counted {
		g.recorder.add(series, v, latency)
	}
}

// ran reports whether the result shows that a backend server ran the request.
func ran(v verdict) bool { return v == verdictAnswered || v == verdictFailed || v == verdictWrong }

func (g *generator) send(r *request, addr string, direct bool) verdict {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.write(req, addr)
	err := g.client.DoTimeout(req, resp, g.settings.Timeout)
	return r.judge(resp, err, direct)
}
