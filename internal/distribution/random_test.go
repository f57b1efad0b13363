package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	randomDomains   = 2
	randomPerDomain = 3
	// randomSettleTime is the time within which all nodes must converge once
	// the faults have ended.
	randomSettleTime = 40 * time.Second
)

// randomRun is a simulated mesh that is exposed to random faults.
type randomRun struct {
	*sim
	violations *violations
	published  int
}

func newRandomRun(seed uint64) *randomRun {
	r := &randomRun{sim: newSim(seed)}
	r.violations = recordViolations(r.sim)
	for i := range randomDomains {
		r.addDomain([]mesh.FailureDomain{"ifrane", "azrou"}[i], randomPerDomain)
	}
	r.publish(nil, goodContent)
	r.startAll()
	return r
}

// content returns a configuration that differs from all earlier ones. A bad
// one has a route to an unknown service.
func (r *randomRun) content(bad bool) []byte {
	r.published++
	lines := []string{"service roofs", fmt.Sprintf("route survey-%d roofs", r.published)}
	if bad {
		lines = append(lines, "route stock depot")
	}
	return makeContent(lines...)
}

// actions returns the random actions by name.
func (r *randomRun) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *simHost { return rapid.SampledFrom(r.hosts).Draw(t, "host") }
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) {
			bad := rapid.IntRange(0, 3).Draw(t, "bad") == 0
			publisher := pick(t)
			if rapid.Bool().Draw(t, "silent") || publisher.paused {
				publisher = nil
			}
			if !r.platformDown {
				r.publish(publisher, r.content(bad))
			}
		},
		"restart": func(t *rapid.T) { r.start(pick(t)) },
		"stop":    func(t *rapid.T) { r.stop(pick(t)) },
		"pause":   func(t *rapid.T) { pick(t).paused = true },
		"resume": func(t *rapid.T) {
			if h := pick(t); h.up && h.paused {
				r.resume(h)
			}
		},
		"platform": func(t *rapid.T) { r.platformDown = rapid.Bool().Draw(t, "down") },
		"partition": func(t *rapid.T) {
			partition := map[*simHost]bool{}
			for _, h := range r.hosts {
				partition[h] = rapid.Bool().Draw(t, "side")
			}
			r.blocked = func(from, to *simHost) bool { return partition[from] != partition[to] }
			r.noPlatform = func(h *simHost) bool { return partition[h] }
		},
		"heal": func(t *rapid.T) { r.blocked, r.noPlatform = nil, nil },
		"network": func(t *rapid.T) {
			r.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			r.duplicate = rapid.Float64Range(0, 0.4).Draw(t, "duplicate")
			r.extraDelay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
		},
		"wait": func(t *rapid.T) {
			r.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// settle ends all faults, publishes a valid version and waits for convergence.
func (r *randomRun) settle() {
	r.loss, r.duplicate, r.extraDelay = 0, 0, 0
	r.blocked, r.noPlatform, r.platformDown = nil, nil, false
	for _, h := range r.hosts {
		if !h.up {
			r.start(h)
		} else if h.paused {
			r.resume(h)
		}
	}
	r.publish(nil, r.content(false))
	r.run(randomSettleTime)
}

// Guards against a host that applies a lower version than before (guarantee
// G1) or a rejected version (G2, G3), and against nodes that never converge
// (G10), under lost, duplicated, reordered and stale messages, restarts,
// pauses, partitions and platform outages.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomRun(rapid.Uint64().Draw(t, "seed"))
		actions := r.actions()
		t.Repeat(actions)
		r.settle()
		if len(r.violations.downgrades)+len(r.violations.invalid) > 0 {
			t.Fatalf("guarantees broken: %+v", *r.violations)
		}
		if lagging := r.lagging(r.head.Version); len(lagging) > 0 {
			t.Fatalf("%s is not in force on %v", r.head.Version, lagging)
		}
		if host := r.hostWithWrongMembers(); host != "" {
			t.Fatalf("%s does not know exactly the running hosts", host)
		}
	})
}

// Shows that the check of guarantee G1 in TestRandomFaults can fail: without
// the floor, a restarted node applies the lower version of a peer that is
// behind.
func TestFloorPreventsLowerVersion(t *testing.T) {
	is := is.New(t)
	for _, floor := range []bool{true, false} {
		s := newSim(7)
		v := recordViolations(s)
		s.configureNode = func(h *simHost) { h.dist.checks.floor = floor }
		s.addDomain("ifrane", 3)
		s.addDomain("azrou", 3)
		s.publish(nil, goodContent)
		s.startAll()
		s.run(15 * time.Second)
		restartWithStalePeer(s)
		is.Equal(len(v.downgrades) == 0, floor)
	}
}

// Shows that the check of guarantee G3 in TestRandomFaults can fail: without
// validation, a version with an unresolved reference is applied.
func TestValidationPreventsBadVersion(t *testing.T) {
	is := is.New(t)
	for _, validate := range []bool{true, false} {
		s, v := newConvergedSim(3)
		for _, h := range s.hosts {
			h.dist.checks.validate = validate
		}
		s.publish(s.leaf("ifrane"), badContent)
		s.run(4 * time.Second)
		is.Equal(len(v.invalid) == 0, validate)
	}
}
