package callsim

import (
	"math/rand/v2"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// Policy selects targets at one entry node.
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
		return &roundRobin{next: make(map[mesh.Service]int)}
	case LeastLoaded:
		return &leastLoaded{inFlight: make(map[mesh.InstanceID]int), reported: make(map[mesh.InstanceID]int)}
	}
	return routing.New(domain)
}

// table is the list of usable instances of the baseline policies.
type table struct{ all []routing.Instance }

func (t *table) SetInstances(_ mesh.Time, all []routing.Instance) {
	t.all = slices.DeleteFunc(slices.Clone(all), func(i routing.Instance) bool {
		return !i.Reachable || i.Draining
	})
}

func (t *table) candidates(service mesh.Service, excluded routing.Excluded) []routing.Instance {
	var list []routing.Instance
	for _, i := range t.all {
		if i.Service == service && !slices.Contains(excluded.Instances, i.ID) {
			list = append(list, i)
		}
	}
	return list
}

func targetOf(i routing.Instance) routing.Choice {
	return routing.Choice{Target: routing.Target{Host: i.Host, Domain: i.Domain, Instance: i.ID,
		Service: i.Service, Version: i.Version}}
}

// roundRobin takes the instances of a service in turn.
type roundRobin struct {
	table
	next map[mesh.Service]int
}

func (p *roundRobin) Choose(_ mesh.Time, seed uint64, service mesh.Service, excluded routing.Excluded) routing.Choice {
	list := p.candidates(service, excluded)
	if len(list) == 0 {
		return routing.Choice{Miss: routing.MissNoInstance}
	}
	if _, started := p.next[service]; !started {
		p.next[service] = int(seed % uint64(len(list))) // nodes start at different places
	}
	p.next[service]++
	return targetOf(list[p.next[service]%len(list)])
}

func (p *roundRobin) Done(mesh.Time, routing.Target, routing.Result) routing.Change {
	return routing.Unchanged
}

// leastLoaded takes the instance with the least sum of reported load and own
// calls in flight per slot; a random one of equals.
type leastLoaded struct {
	table
	inFlight map[mesh.InstanceID]int
	reported map[mesh.InstanceID]int
}

func (p *leastLoaded) Choose(_ mesh.Time, seed uint64, service mesh.Service, excluded routing.Excluded) routing.Choice {
	list := p.candidates(service, excluded)
	if len(list) == 0 {
		return routing.Choice{Miss: routing.MissNoInstance}
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	best := slices.MinFunc(list, func(a, b routing.Instance) int {
		return (p.inFlight[a.ID]+p.reported[a.ID])*int(b.Slots) - (p.inFlight[b.ID]+p.reported[b.ID])*int(a.Slots)
	})
	p.inFlight[best.ID]++
	return targetOf(best)
}

func (p *leastLoaded) Done(_ mesh.Time, t routing.Target, res routing.Result) routing.Change {
	p.inFlight[t.Instance]--
	if res.HasLoad {
		p.reported[t.Instance] = max(0, int(res.Load.InUse)+int(res.Load.Queued)-p.inFlight[t.Instance])
	}
	return routing.Unchanged
}
