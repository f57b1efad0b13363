// Package load is an open-loop load generator. It sends calls at a fixed rate,
// whether or not earlier calls have been answered, checks that each answer belongs
// to its request, and reports the latency per kind of request.
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

// generator is the state of one run.
type generator struct {
	settings    *settings.LoadGenerator
	client      *fasthttp.Client
	recorder    *recorder
	random      *rand.Rand // used by the scheduling goroutine alone
	totalWeight int
	calls       sync.WaitGroup
	inFlight    atomic.Int64
}

// scheduledCall holds the choices of the scheduler for one call.
type scheduledCall struct {
	due          time.Time
	kind         int // index in settings.Requests
	target       int // index in settings.Targets
	resendTarget int // index in settings.Targets for the second send, or -1
	request      *request
	// direct is the request that is sent direct to the backend server for the
	// paired comparison, under a different identity. It is nil if no direct
	// address is configured.
	direct *request
	// counted is false during the warm-up, whose calls are not in the report.
	counted bool
}

// Run sends calls until the configured duration is over or ctx is cancelled, waits
// for their answers and returns the report. It relies on the validation of s by the
// settings parser.
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
		g.totalWeight += s.Requests[i].Weight
	}
	start := time.Now()
	err := g.schedule(ctx, start)
	elapsed := time.Since(start) - s.Warmup
	g.calls.Wait()
	return g.recorder.finish(elapsed), err
}

// schedule starts each call when it is due. If it falls behind, the times at which
// later calls are due stay the same.
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
		if err := g.startCall(due, due.Sub(start) >= g.settings.Warmup); err != nil {
			return err
		}
	}
	return nil
}

func (g *generator) startCall(due time.Time, counted bool) error {
	p, err := g.drawCall(due, counted)
	if err != nil {
		return err
	}
	if g.inFlight.Load() >= int64(g.settings.MaxInFlight) {
		if counted {
			g.recorder.update(func(r *Report) { r.Dropped++ })
		}
		return nil
	}
	g.spawn(func() { g.sendViaNodes(&p) })
	if p.direct != nil {
		g.spawn(func() {
			result := g.send(p.direct, g.settings.Direct, true)
			g.record(&p, g.recorder.report.Direct[p.kind], result, time.Since(p.due))
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

func (g *generator) drawCall(due time.Time, counted bool) (scheduledCall, error) {
	targets := g.settings.Targets
	p := scheduledCall{due: due, target: g.random.IntN(len(targets)), resendTarget: -1, counted: counted}
	for remainingWeight := g.random.IntN(g.totalWeight); remainingWeight >= g.settings.Requests[p.kind].Weight; p.kind++ {
		remainingWeight -= g.settings.Requests[p.kind].Weight
	}
	kind := &g.settings.Requests[p.kind]
	if g.random.Float64() < kind.ResendShare {
		p.resendTarget = (p.target + 1) % len(targets)
	}
	var err error
	if p.request, err = newRequest(kind, g.settings.FailureDomain, g.random); err == nil && g.settings.Direct != "" {
		p.direct, err = newRequest(kind, g.settings.FailureDomain, g.random)
	}
	return p, err
}

// sendViaNodes sends the call to its target node and, if resendTarget is set, a
// second time under the same identity to the node resendTarget. The second send
// starts after the end of the first.
func (g *generator) sendViaNodes(p *scheduledCall) {
	series := g.recorder.report.Nodes[p.kind]
	first := g.send(p.request, g.settings.Targets[p.target], false)
	g.record(p, series, first, time.Since(p.due))
	if p.resendTarget < 0 {
		return
	}
	resentAt := time.Now()
	second := g.send(p.request, g.settings.Targets[p.resendTarget], false)
	g.record(p, series, second, time.Since(resentAt))
	if !p.counted {
		return
	}
	g.recorder.update(func(r *Report) {
		r.Resent++
		if backendRan(first) && backendRan(second) {
			r.AnsweredTwice++
		}
	})
}

// record adds a send to its series unless the call belongs to the warm-up.
func (g *generator) record(p *scheduledCall, series *Series, result sendResult, latency time.Duration) {
	if p.counted {
		g.recorder.add(series, result, latency)
	}
}

// backendRan reports whether the result shows that a backend server ran a request.
func backendRan(result sendResult) bool {
	return result == resultAnswered || result == resultFailed || result == resultWrong
}

func (g *generator) send(r *request, addr string, direct bool) sendResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.fill(req, addr)
	err := g.client.DoTimeout(req, resp, g.settings.Timeout)
	return r.classify(resp, err, direct)
}
