package runtime

import (
	"context"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/telemetry"
)

const (
	platformWorkers = 8
	// platformQueueSize bounds the requests that wait while the platform is slow.
	platformQueueSize = 256
)

// platformPool executes platform requests on a fixed number of workers.
type platformPool struct {
	client  Platform
	timeout time.Duration
	metrics *telemetry.Metrics
	queue   chan core.PlatformRequest
	// onResult is called with every result. It must not block for long.
	onResult func(core.PlatformResult)

	cancel  context.CancelFunc
	workers sync.WaitGroup
}

func newPlatformPool(client Platform, opts *Options, onResult func(core.PlatformResult)) *platformPool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &platformPool{
		client: client, timeout: opts.PlatformTimeout, metrics: opts.Metrics,
		queue: make(chan core.PlatformRequest, platformQueueSize), onResult: onResult, cancel: cancel,
	}
	for range platformWorkers {
		p.workers.Go(func() { p.runWorker(ctx) })
	}
	return p
}

// submit queues a request without blocking. If the queue is full, the request
// ends with status Unknown.
func (p *platformPool) submit(req core.PlatformRequest) {
	p.metrics.PlatformRequests.Add(1)
	select {
	case p.queue <- req:
	default:
		p.metrics.PlatformUnknown.Add(1)
		go p.onResult(unknownResult(req, "platform queue is full"))
	}
}

func (p *platformPool) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-p.queue:
			p.onResult(p.run(ctx, req))
		}
	}
}

// run executes a request within the timeout. If the client panics, the result
// has status Unknown.
func (p *platformPool) run(ctx context.Context, req core.PlatformRequest) (result core.PlatformResult) {
	defer func() {
		if cause := recover(); cause != nil {
			p.metrics.Panics.Add(1)
			result = unknownResult(req, "platform client panicked")
		}
		if result.Result.Status == platform.Unknown {
			p.metrics.PlatformUnknown.Add(1)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	result = core.PlatformResult{Owner: req.Owner, Result: p.client.Do(ctx, req.Request)}
	result.Result.ID, result.Result.Op = req.Request.ID, req.Request.Op
	return result
}

func unknownResult(req core.PlatformRequest, cause string) core.PlatformResult {
	return core.PlatformResult{Owner: req.Owner, Result: platform.Result{
		ID: req.Request.ID, Op: req.Request.Op, Status: platform.Unknown, Err: cause,
	}}
}

func (p *platformPool) close() {
	p.cancel()
	p.workers.Wait()
}
