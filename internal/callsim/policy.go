package callsim

import (
	"math/rand/v2"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// Policy selects the targets of calls at one entry node.
type Policy interface {
	SetInstances(now mesh.Time, all []routing.Instance)
	Choose(now mesh.Time, seed uint64, service mesh.Service, excluded routing.Excluded) routing.Choice
	Done(now mesh.Time, t routing.Target, res routing.Result) routing.Change
}

// PolicyName names a policy of the comparison.
type PolicyName string

// Policies of the comparison.
const (
	Chicory     PolicyName = "chicory"
	RoundRobin  PolicyName = "round-robin"
	LeastLoaded PolicyName = "least-loaded"
)

// PolicyNames lists all policies.
var PolicyNames = []PolicyName{Chicory, RoundRobin, LeastLoaded}

func newPolicy(name PolicyName, domain mesh.FailureDomain) Policy {
	switch name {
	case RoundRobin:
		return &roundRobin{nextIndex: make(map[mesh.Service]int)}
	case LeastLoaded:
		return &leastLoaded{inFlight: make(map[mesh.InstanceID]int), loadFromOthers: make(map[mesh.InstanceID]int)}
	}
	return routing.New(domain)
}

// usableInstances holds the reachable, non-draining instances for the baseline
// policies.
type usableInstances struct{ all []routing.Instance }

func (t *usableInstances) SetInstances(_ mesh.Time, all []routing.Instance) {
	t.all = slices.DeleteFunc(slices.Clone(all), func(i routing.Instance) bool {
		return !i.Reachable || i.Draining
	})
}

func (t *usableInstances) candidates(service mesh.Service, excluded routing.Excluded) []routing.Instance {
	var list []routing.Instance
	for _, i := range t.all {
		if i.Service == service && !slices.Contains(excluded.Instances, i.ID) {
			list = append(list, i)
		}
	}
	return list
}

func choiceOf(i routing.Instance) routing.Choice {
	return routing.Choice{Target: routing.Target{Host: i.Host, Domain: i.Domain, Instance: i.ID,
		Service: i.Service, Version: i.Version}}
}

// roundRobin chooses the instances of a service in turn.
type roundRobin struct {
	usableInstances
	nextIndex map[mesh.Service]int
}

func (p *roundRobin) Choose(_ mesh.Time, seed uint64, service mesh.Service, excluded routing.Excluded) routing.Choice {
	list := p.candidates(service, excluded)
	if len(list) == 0 {
		return routing.Choice{Miss: routing.MissNoInstance}
	}
	if _, started := p.nextIndex[service]; !started {
		p.nextIndex[service] = int(seed % uint64(len(list))) // so that the nodes do not all start with the same instance
	}
	p.nextIndex[service]++
	return choiceOf(list[p.nextIndex[service]%len(list)])
}

func (p *roundRobin) Done(mesh.Time, routing.Target, routing.Result) routing.Change {
	return routing.Unchanged
}

// leastLoaded chooses the instance with the lowest load per slot, and a random
// one of those with equal load. The load is the sum of inFlight and
// loadFromOthers.
type leastLoaded struct {
	usableInstances
	inFlight       map[mesh.InstanceID]int // calls of this entry node
	loadFromOthers map[mesh.InstanceID]int // last reported load minus inFlight
}

func (p *leastLoaded) Choose(_ mesh.Time, seed uint64, service mesh.Service, excluded routing.Excluded) routing.Choice {
	list := p.candidates(service, excluded)
	if len(list) == 0 {
		return routing.Choice{Miss: routing.MissNoInstance}
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	best := slices.MinFunc(list, func(a, b routing.Instance) int {
		return (p.inFlight[a.ID]+p.loadFromOthers[a.ID])*int(b.Slots) - (p.inFlight[b.ID]+p.loadFromOthers[b.ID])*int(a.Slots)
	})
	p.inFlight[best.ID]++
	return choiceOf(best)
}

func (p *leastLoaded) Done(_ mesh.Time, t routing.Target, res routing.Result) routing.Change {
	p.inFlight[t.Instance]--
	if res.HasLoad {
		p.loadFromOthers[t.Instance] = max(0, int(res.Load.InUse)+int(res.Load.Queued)-p.inFlight[t.Instance])
	}
	return routing.Unchanged
}
