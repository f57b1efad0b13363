package callsim

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// Phase is a period of constant offered load.
type Phase struct {
	Length time.Duration
	// Load is the offered load as a share of the healthy capacity, which is the
	// capacity of the deployment without faults. It may exceed 1.
	Load float64
}

// Config describes one run.
type Config struct {
	Deployment Deployment
	Fault      Fault
	Policy     PolicyName
	Seed       uint64
	// Phases run one after the other. The first warmUp of virtual time is not
	// measured.
	Phases []Phase
	// NoShedding replaces the admission gates by queues that reject no call.
	NoShedding bool
	// NoBudget raises the retry budget to unboundedBudget and allows
	// maxAttemptsWithoutBudget attempts per call.
	NoBudget bool
}

// Values of a run with NoBudget.
const (
	// unboundedBudget is the largest value of the type, about 6.55 retries per
	// call. That is less than the 9 retries that maxAttemptsWithoutBudget allows,
	// so the budget still refuses retries if calls need more than that on average
	// or if a burst of retries empties the token bucket.
	unboundedBudget          retry.BasisPoints = 1<<16 - 1
	maxAttemptsWithoutBudget                   = 10
)

const tickInterval = 10 * time.Millisecond

// Sim is the state of one run.
type Sim struct {
	config       Config
	engine       engine
	random       *rand.Rand
	nodes        []*node
	byHost       map[mesh.HostID]*node
	instances    []routing.Instance
	attempts     map[mesh.CallID]*attempt
	lastID       mesh.CallID
	effects      []admission.Effect
	measurements Measurements
}

// node is a simulated host: the reducers of its mesh node (policy, retrier and gate)
// and its simulated backend server.
type node struct {
	instance routing.Instance
	alive    bool
	policy   Policy
	retrier  *retry.Retrier
	gate     gate
	backend  *backend
}

// Run executes one run and returns its measurements.
func Run(c Config) Measurements {
	s := &Sim{
		config:    c,
		random:    rand.New(rand.NewPCG(c.Seed, 1)),
		byHost:    make(map[mesh.HostID]*node),
		instances: c.Deployment.instances(),
		attempts:  make(map[mesh.CallID]*attempt),
	}
	s.engine.now = mesh.Time(time.Hour) // the reducers take a time of zero as "never"
	s.measurements = newMeasurements(s.engine.now, c)
	s.addNodes()
	s.scheduleArrivals()
	s.tick()
	if c.Fault == DomainLost {
		s.engine.after(domainLossTime, s.stopFirstDomain)
	}
	s.engine.runUntil(s.engine.now.Add(totalLength(c.Phases)))
	return s.measurements
}

func totalLength(phases []Phase) time.Duration {
	total := time.Duration(0)
	for _, p := range phases {
		total += p.Length
	}
	return total
}

func (s *Sim) addNodes() {
	servicesSeen := make(map[mesh.Service]bool)
	for _, info := range s.instances {
		n := &node{instance: info, alive: true}
		n.policy = newPolicy(s.config.Policy, info.Domain)
		n.policy.SetInstances(s.engine.now, s.instances)
		n.retrier = s.newRetrier()
		n.gate = newGate(!s.config.NoShedding, info.ID, info.Slots)
		n.backend = newBackend(s, n, info, !servicesSeen[info.Service])
		servicesSeen[info.Service] = true
		s.nodes = append(s.nodes, n)
		s.byHost[info.Host] = n
	}
}

func (s *Sim) newRetrier() *retry.Retrier {
	r := retry.New()
	for _, class := range callClasses {
		p := retry.ClassPolicy{Class: class.name, Idempotent: class.idempotent, Budget: retry.DefaultBudget}
		if s.config.NoBudget {
			p.Budget, p.MaxAttempts = unboundedBudget, maxAttemptsWithoutBudget
		}
		r.SetClass(p)
	}
	return r
}

// scheduleArrivals schedules the calls of each phase as a Poisson process.
func (s *Sim) scheduleArrivals() {
	start := time.Duration(0)
	for _, p := range s.config.Phases {
		end := s.engine.now.Add(start + p.Length)
		meanInterval := float64(time.Second) / (p.Load * s.config.Deployment.capacity())
		var next func()
		next = func() {
			if s.engine.now >= end {
				return
			}
			s.startCall()
			s.engine.after(time.Duration(s.random.ExpFloat64()*meanInterval), next)
		}
		s.engine.after(start, next)
		start += p.Length
	}
}

func (s *Sim) tick() {
	for _, n := range s.nodes {
		if n.alive {
			s.apply(n, n.gate.Tick(s.engine.now, s.effects[:0]))
		}
	}
	s.engine.after(tickInterval, s.tick)
}

// stopFirstDomain stops all hosts of the first failure domain. From then on, all
// calls enter through the nodes of the other domains.
func (s *Sim) stopFirstDomain() {
	lostDomain := s.config.Deployment.Domains[0]
	for i := range s.instances {
		if s.instances[i].Domain == lostDomain {
			s.instances[i].Reachable = false
			s.nodes[i].alive = false
		}
	}
	for id := mesh.CallID(1); id <= s.lastID; id++ { // not in map order, so that runs are reproducible
		if a := s.attempts[id]; a != nil && a.target.Domain == lostDomain {
			s.connectionLost(a)
		}
	}
	s.engine.after(membershipDelay, func() {
		for _, n := range s.nodes {
			n.policy.SetInstances(s.engine.now, s.instances)
		}
	})
}

// networkDelay returns the one-way network delay between two nodes.
func (s *Sim) networkDelay(a, b *node) time.Duration {
	if a.instance.Domain == b.instance.Domain {
		return localDelay
	}
	return s.config.Deployment.DomainDelay
}
