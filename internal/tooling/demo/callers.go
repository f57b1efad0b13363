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
	// maxSends bounds the sends of a request that has no answer yet.
	maxSends = 4
	// orderShare is the share of orders among all requests.
	orderShare = 0.25
	// repeatShare and raceShare are the shares of orders whose identity is sent
	// again after its answer, and at the same time in another failure domain.
	repeatShare = 0.15
	raceShare   = 0.1
	// directShare is the share of lookups that are followed by a direct call to
	// the same backend server.
	directShare = 0.2
)

// request is one request of a caller.
type request struct {
	method, path string
	service      mesh.Service
	// identity is empty for lookups.
	identity string
	body     []byte
}

// callers sends open-loop calls in all failure domains. It is safe for
// concurrent use.
type callers struct {
	client  *client
	domains []mesh.FailureDomain
	nodes   map[mesh.FailureDomain][]string
	servers map[mesh.InstanceID]string
	cancel  context.CancelFunc
	// starts are the tasks that start calls, and calls those in progress.
	starts, calls sync.WaitGroup
	tally         *tally
}

func newCallers(l *deploy.Layout) *callers {
	c := &callers{
		client: newClient(), nodes: map[mesh.FailureDomain][]string{},
		servers: map[mesh.InstanceID]string{}, cancel: func() {}, tally: newTally(),
	}
	for _, h := range l.Hosts {
		if len(c.nodes[h.Domain]) == 0 {
			c.domains = append(c.domains, h.Domain)
		}
		c.nodes[h.Domain] = append(c.nodes[h.Domain], h.CallAddr)
		for _, b := range h.Backends {
			c.servers[b.Instance] = b.Addr
		}
	}
	return c
}

func (c *callers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i, domain := range c.domains {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		c.starts.Go(func() { c.generate(ctx, domain, random) })
	}
}

// stop starts no further calls and waits for those in progress.
func (c *callers) stop() {
	c.cancel()
	c.starts.Wait()
	c.calls.Wait()
}

// countMove begins to count the calls that reach the bad version.
func (c *callers) countMove() { c.tally.countMove() }

// generate starts calls at a fixed rate. Calls that are late are started at
// once.
func (c *callers) generate(ctx context.Context, domain mesh.FailureDomain, random *rand.Rand) {
	began := time.Now()
	for n := 1; ; n++ {
		at := began.Add(time.Duration(n) * time.Second / callRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		// Each call has its own source, since calls run at the same time.
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		c.calls.Go(func() { c.run(domain, newRequest(domain, own), own) })
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
	r.identity = string(domain) + "." + uuid.Must(uuid.NewV7()).String()
	return &r
}

// run sends a request until it has an answer, to another node each time.
func (c *callers) run(domain mesh.FailureDomain, r *request, random *rand.Rand) {
	if r.identity != "" && random.Float64() < raceShare {
		c.race(domain, r, random)
		return
	}
	var last result
	nodes := c.nodes[domain]
	first := random.IntN(len(nodes))
	for i := range maxSends {
		last = c.client.send(nodes[(first+i)%len(nodes)], r)
		c.tally.sent(r, &last)
		if !last.worthResending(r) {
			break
		}
	}
	c.tally.ended(r, &last)
	switch {
	case r.identity != "" && random.Float64() < repeatShare:
		c.tally.sentAgain(r, c.client.send(c.otherNode(domain, random), r))
	case r.identity == "" && last.outcome == mesh.Answered && random.Float64() < directShare:
		c.compare(r, &last)
	}
}

// race sends an order at the same time in two failure domains.
func (c *callers) race(domain mesh.FailureDomain, r *request, random *rand.Rand) {
	addrs := []string{c.nodes[domain][0], c.otherNode(domain, random)}
	results := make([]result, len(addrs))
	var sends sync.WaitGroup
	for i, addr := range addrs {
		sends.Go(func() { results[i] = c.client.send(addr, r) })
	}
	sends.Wait()
	best := &results[0]
	for i := range results {
		c.tally.sent(r, &results[i])
		if results[i].outcome == mesh.Answered {
			best = &results[i]
		}
	}
	c.tally.ended(r, best)
}

// otherNode returns a node of any failure domain.
func (c *callers) otherNode(domain mesh.FailureDomain, random *rand.Rand) string {
	other := c.domains[random.IntN(len(c.domains))]
	if other == domain {
		other = c.domains[random.IntN(len(c.domains))]
	}
	nodes := c.nodes[other]
	return nodes[random.IntN(len(nodes))]
}

// compare sends a lookup directly to the backend server that answered it.
func (c *callers) compare(r *request, through *result) {
	addr, ok := c.servers[through.answer.Instance]
	if !ok || through.status != 200 {
		return
	}
	direct := c.client.send(addr, r)
	if direct.status == 200 {
		c.tally.compared(through.latency, direct.latency)
	}
}
