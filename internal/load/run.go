package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxConnsPerAddr limits the connections to one address.
	maxConnsPerAddr = 4096
	clientIdleTime  = 30 * time.Second
)

// generator is one run.
type generator struct {
	opts     *Options
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
	class   int
	node    int
	resend  int // index of the node for the second send, or -1
	request *request
}

// Run sends calls until the duration or the context ends, waits for their
// answers and returns the report. The error states faults of the options.
func Run(ctx context.Context, o *Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	g := &generator{
		opts: o, recorder: newRecorder(o), random: rand.New(rand.NewPCG(o.Seed, 1)),
		client: &fasthttp.Client{
			MaxConnsPerHost: maxConnsPerAddr, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: clientIdleTime,
			RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader: true,
		},
	}
	defer g.client.CloseIdleConnections()
	for i := range o.Classes {
		g.weights += o.Classes[i].Weight
	}
	start := time.Now()
	err := g.schedule(ctx, start)
	elapsed := time.Since(start)
	g.calls.Wait()
	return g.recorder.finish(elapsed), err
}

// schedule starts each call when it is due. A late scheduler does not shift the
// times at which later calls are due.
func (g *generator) schedule(ctx context.Context, start time.Time) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	total := int(g.opts.Rate * g.opts.Duration.Seconds())
	for i := range total {
		due := start.Add(time.Duration(float64(i) / g.opts.Rate * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if err := g.start(due); err != nil {
			return err
		}
	}
	return nil
}

func (g *generator) start(due time.Time) error {
	p, err := g.plan(due)
	if err != nil {
		return err
	}
	if g.inFlight.Load() >= int64(g.opts.MaxInFlight) {
		g.recorder.update(func(r *Report) { r.Dropped++ })
		return nil
	}
	g.spawn(func() { g.viaNodes(p) })
	if g.opts.Direct != "" {
		g.spawn(func() {
			v := g.send(p.request, g.opts.Direct, true)
			g.recorder.add(g.recorder.report.Direct[p.class], v, time.Since(p.due))
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

func (g *generator) plan(due time.Time) (plan, error) {
	p := plan{due: due, node: g.random.IntN(len(g.opts.Nodes)), resend: -1}
	for pick := g.random.IntN(g.weights); pick >= g.opts.Classes[p.class].Weight; p.class++ {
		pick -= g.opts.Classes[p.class].Weight
	}
	class := &g.opts.Classes[p.class]
	if g.random.Float64() < class.ResendShare {
		p.resend = (p.node + 1) % len(g.opts.Nodes)
	}
	var err error
	p.request, err = newRequest(class, g.opts.Domain, g.random)
	return p, err
}

// viaNodes sends the call to its node and, if planned, a second time under the
// same identity to another node. The second send follows the end of the first.
func (g *generator) viaNodes(p plan) {
	series := g.recorder.report.Nodes[p.class]
	first := g.send(p.request, g.opts.Nodes[p.node], false)
	g.recorder.add(series, first, time.Since(p.due))
	if p.resend < 0 {
		return
	}
	resent := time.Now()
	second := g.send(p.request, g.opts.Nodes[p.resend], false)
	g.recorder.add(series, second, time.Since(resent))
	g.recorder.update(func(r *Report) {
		r.Resent++
		if ran(first) && ran(second) {
			r.AnsweredTwice++
		}
	})
}

// ran reports whether the result shows that a backend server ran the request.
func ran(v verdict) bool { return v == verdictAnswered || v == verdictFailed || v == verdictWrong }

func (g *generator) send(r *request, addr string, direct bool) verdict {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.write(req, addr, g.opts.Timeout.Milliseconds())
	// The node answers by the deadline; the slack lets that answer arrive.
	err := g.client.DoTimeout(req, resp, g.opts.Timeout+g.opts.Timeout/2)
	return r.judge(resp, err, direct)
}
