package callsim

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// Phase is a time of constant offered load.
type Phase struct {
	Length time.Duration
	// Load is the offered load as a share of the healthy capacity.
	Load float64
}

// Config describes one run.
type Config struct {
	Deployment Deployment
	Fault      Fault
	Policy     PolicyName
	Seed       uint64
	// Phases follow each other. The first warmUp of virtual time is not
	// measured.
	Phases []Phase
	// NoShedding replaces the gates by queues that refuse nothing.
	NoShedding bool
	// NoBudget lifts the retry budget and allows unboundedRetries attempts.
	NoBudget bool
}

// Values of a run with NoBudget.
const (
	unboundedBudget  retry.BasisPoints = 1<<16 - 1
	unboundedRetries                   = 10
)

const tickInterval = 10 * time.Millisecond

// Sim is one run.
type Sim struct {
	config    Config
	engine    engine
	random    *rand.Rand
	nodes     []*node
	byHost    map[mesh.HostID]*node
	instances []routing.Instance
	attempts  map[mesh.CallID]*attempt
	lastID    mesh.CallID
	effects   []admission.Effect
	measured  Measured
}

// node is one host with its node and backend server.
type node struct {
	info    routing.Instance
	alive   bool
	policy  Policy
	retrier *retry.Retrier
	gate    gate
	backend *backend
}

// Run executes one run and returns its measurements.
func Run(c Config) Measured {
	s := &Sim{
		config:    c,
		random:    rand.New(rand.NewPCG(c.Seed, 1)),
		byHost:    make(map[mesh.HostID]*node),
		instances: c.Deployment.instances(),
		attempts:  make(map[mesh.CallID]*attempt),
	}
	s.engine.now = mesh.Time(time.Hour) // a time of zero means "never" to reducers
	s.measured = newMeasured(s.engine.now, c)
	s.addNodes()
	s.scheduleArrivals()
	s.tick()
	if c.Fault == DomainLost {
		s.engine.after(lossTime, s.loseDomain)
	}
	s.engine.runUntil(s.engine.now.Add(length(c.Phases)))
	return s.measured
}

func length(phases []Phase) time.Duration {
	total := time.Duration(0)
	for _, p := range phases {
		total += p.Length
	}
	return total
}

func (s *Sim) addNodes() {
	seen := make(map[mesh.Service]bool)
	for _, info := range s.instances {
		n := &node{info: info, alive: true}
		n.policy = newPolicy(s.config.Policy, info.Domain)
		n.policy.SetInstances(s.engine.now, s.instances)
		n.retrier = s.newRetrier()
		n.gate = newGate(!s.config.NoShedding, info.ID, info.Slots)
		n.backend = newBackend(s, n, info, !seen[info.Service])
		seen[info.Service] = true
		s.nodes = append(s.nodes, n)
		s.byHost[info.Host] = n
	}
}

func (s *Sim) newRetrier() *retry.Retrier {
	r := retry.New()
	for _, w := range workClasses {
		p := retry.ClassPolicy{Class: w.name, Idempotent: w.idempotent, Budget: retry.DefaultBudget}
		if s.config.NoBudget {
			p.Budget, p.MaxAttempts = unboundedBudget, unboundedRetries
		}
		r.SetClass(p)
	}
	return r
}

// scheduleArrivals starts the Poisson arrivals of each phase.
func (s *Sim) scheduleArrivals() {
	start := time.Duration(0)
	for _, p := range s.config.Phases {
		end := s.engine.now.Add(start + p.Length)
		mean := float64(time.Second) / (p.Load * s.config.Deployment.capacity())
		var next func()
		next = func() {
			if s.engine.now >= end {
				return
			}
			s.arrive()
			s.engine.after(time.Duration(s.random.ExpFloat64()*mean), next)
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

// loseDomain stops all hosts of the first failure domain. Their callers use
// the nodes of the other domains.
func (s *Sim) loseDomain() {
	lost := s.config.Deployment.Domains[0]
	for i := range s.instances {
		if s.instances[i].Domain == lost {
			s.instances[i].Reachable = false
			s.nodes[i].alive = false
		}
	}
	for id := mesh.CallID(1); id <= s.lastID; id++ { // in a fixed order
		if a := s.attempts[id]; a != nil && a.target.Domain == lost {
			s.connectionLost(a)
		}
	}
	s.engine.after(membershipDelay, func() {
		for _, n := range s.nodes {
			n.policy.SetInstances(s.engine.now, s.instances)
		}
	})
}

// delay is the one-way delay between two nodes.
func (s *Sim) delay(a, b *node) time.Duration {
	if a.info.Domain == b.info.Domain {
		return localDelay
	}
	return s.config.Deployment.DomainDelay
}
