package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

const (
	// callRate is the number of calls per second that start in each failure
	// domain, whether or not earlier ones have ended.
	callRate = 40
	// maxAttempts bounds the attempts of a request that has no answer yet.
	maxAttempts = 4
	// orderShare is the share of orders (requests that are not idempotent and
	// carry a request ID) among all requests. The others are lookups.
	orderShare = 0.25
	// duplicateShare is the share of orders that are sent again with the same
	// request ID after the caller has a result. concurrentDuplicateShare is the
	// share of orders that are sent to two nodes at the same time, as a rule in
	// different failure domains.
	duplicateShare           = 0.15
	concurrentDuplicateShare = 0.1
	// directShare is the share of answered lookups that are followed by a direct
	// call to the same backend server, to compare the latencies.
	directShare = 0.2
)

// request is one request of a caller, which may take several attempts.
type request struct {
	method, path string
	service      mesh.Service
	// requestID is empty for lookups.
	requestID string
	body      []byte
}

// callers generates calls at a fixed rate in every failure domain, independent
// of how fast they are answered (open loop). It is safe for concurrent use.
type callers struct {
	client       *client
	domains      []mesh.FailureDomain
	nodeAddrs    map[mesh.FailureDomain][]string
	backendAddrs map[mesh.InstanceID]string
	cancel       context.CancelFunc
	// generators are the goroutines that start calls, inFlight the calls in
	// progress.
	generators, inFlight sync.WaitGroup
	tally                *tally
}

func newCallers(l *deploy.Layout) *callers {
	c := &callers{
		client: newClient(), nodeAddrs: map[mesh.FailureDomain][]string{},
		backendAddrs: map[mesh.InstanceID]string{}, cancel: func() {}, tally: newTally(),
	}
	for _, h := range l.Hosts {
		if len(c.nodeAddrs[h.Domain]) == 0 {
			c.domains = append(c.domains, h.Domain)
		}
		c.nodeAddrs[h.Domain] = append(c.nodeAddrs[h.Domain], h.CallAddr)
		for _, b := range h.Backends {
			c.backendAddrs[b.Instance] = b.Addr
		}
	}
	return c
}

func (c *callers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i, domain := range c.domains {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		c.generators.Go(func() { c.generate(ctx, domain, random) })
	}
}

// stop starts no further calls and waits for those in progress.
func (c *callers) stop() {
	c.cancel()
	c.generators.Wait()
	c.inFlight.Wait()
}

// startMoveCount begins to count the attempts that the bad version answers.
func (c *callers) startMoveCount() { c.tally.startMoveCount() }

// generate starts calls at a fixed rate. A call whose start time has already
// passed is started immediately.
func (c *callers) generate(ctx context.Context, domain mesh.FailureDomain, random *rand.Rand) {
	startTime := time.Now()
	for n := 1; ; n++ {
		startAt := startTime.Add(time.Duration(n) * time.Second / callRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startAt)):
		}
		// Each call has its own random source, since calls run concurrently and
		// a source is not safe for concurrent use.
		callRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		c.inFlight.Go(func() { c.sendUntilAnswered(domain, newRequest(domain, callRandom), callRandom) })
	}
}

func newRequest(domain mesh.FailureDomain, random *rand.Rand) *request {
	id := random.Uint32N(10_000)
	if random.Float64() >= orderShare {
		lookups := [...]request{
			{path: "/roofs/%d", service: "roof-works"}, {path: "/roofs/%d", service: "roof-works"},
			{path: "/diagrams/%d", service: "depot"}, {path: "/warnings/%d", service: "depot"},
		}
		r := lookups[random.IntN(len(lookups))]
		r.method, r.path = "GET", fmt.Sprintf(r.path, id)
		return &r
	}
	orders := [...]request{{path: "/roofs/orders", service: "roof-works"}, {path: "/brackets/orders", service: "depot"}}
	r := orders[random.IntN(len(orders))]
	r.method, r.body = "POST", fmt.Appendf(nil, `{"roof":%d,"guards":%d}`, id, random.IntN(40))
	r.requestID = string(domain) + "." + uuid.Must(uuid.NewV7()).String()
	return &r
}

// sendUntilAnswered sends a request until it has an answer, the attempts are
// used up or another attempt is not allowed. Successive attempts go to the nodes
// of the failure domain in turn. Some orders are sent as concurrent or later
// duplicates instead, and some lookups are repeated directly.
func (c *callers) sendUntilAnswered(domain mesh.FailureDomain, r *request, random *rand.Rand) {
	if r.requestID != "" && random.Float64() < concurrentDuplicateShare {
		c.sendConcurrently(domain, r, random)
		return
	}
	var last result
	nodes := c.nodeAddrs[domain]
	first := random.IntN(len(nodes))
	for i := range maxAttempts {
		last = c.client.send(nodes[(first+i)%len(nodes)], r)
		c.tally.recordAttempt(r, &last)
		if !last.shouldResend(r) {
			break
		}
	}
	c.tally.recordRequestEnd(r, &last)
	switch {
	case r.requestID != "" && random.Float64() < duplicateShare:
		c.tally.recordDuplicate(r, c.client.send(c.randomNode(domain, random), r))
	case r.requestID == "" && last.outcome == mesh.Answered && random.Float64() < directShare:
		c.compareLatency(r, &last)
	}
}

// sendConcurrently sends an order to two nodes at the same time: one of the
// caller's failure domain and a random one.
func (c *callers) sendConcurrently(domain mesh.FailureDomain, r *request, random *rand.Rand) {
	addrs := []string{c.nodeAddrs[domain][0], c.randomNode(domain, random)}
	results := make([]result, len(addrs))
	var attempts sync.WaitGroup
	for i, addr := range addrs {
		attempts.Go(func() { results[i] = c.client.send(addr, r) })
	}
	attempts.Wait()
	final := &results[0]
	for i := range results {
		c.tally.recordAttempt(r, &results[i])
		if results[i].outcome == mesh.Answered {
			final = &results[i]
		}
	}
	c.tally.recordRequestEnd(r, final)
}

// randomNode returns the call address of a random node. It draws the failure
// domain a second time if the first draw is the given one, so that nodes of other
// domains are more likely.
func (c *callers) randomNode(domain mesh.FailureDomain, random *rand.Rand) string {
	other := c.domains[random.IntN(len(c.domains))]
	if other == domain {
		other = c.domains[random.IntN(len(c.domains))]
	}
	nodes := c.nodeAddrs[other]
	return nodes[random.IntN(len(nodes))]
}

// compareLatency sends a lookup directly to the backend server that answered it
// through the nodes, and records both latencies.
func (c *callers) compareLatency(r *request, proxied *result) {
	addr, ok := c.backendAddrs[proxied.answer.Instance]
	if !ok || proxied.status != 200 {
		return
	}
	direct := c.client.send(addr, r)
	if direct.status == 200 {
		c.tally.recordLatencyPair(proxied.latency, direct.latency)
	}
}
