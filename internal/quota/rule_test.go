package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// simFault is a fault that begins at a time after the start.
type simFault struct {
	at, lasts time.Duration
	kind      string
	host      int
}

func (s *simulation) begin(f simFault) {
	h := s.hosts[f.host]
	until := s.now.Add(f.lasts)
	switch f.kind {
	case "kill":
		s.kill(h)
	case "restart":
		s.start(h)
	case "freeze":
		h.frozenUntil = until
	case "cut":
		h.cutUntil = until
	case "store-cut":
		h.storeCut = until
	case "side":
		h.side = 1 - h.side
	case "store-down", "store-up":
		s.storeUp = f.kind == "store-up"
	case "kill-coordinator":
		s.kill(s.coordinator())
	case "freeze-coordinator":
		s.coordinator().frozenUntil = until
	case "lossy":
		s.loss, s.delay = 0.3, 700*ms
	case "calm":
		s.loss, s.delay = 0, 2*ms
	}
}

// coordinator returns the holder of the row, the first host if there is none.
func (s *simulation) coordinator() *simHost {
	return s.hosts[max(slices.Index(s.names, s.row.Host), 0)]
}

// Guards against any sequence of faults after which the hosts together admit more
// requests of a tenant than the rule allows, or use shares whose sum exceeds the limit.
func TestNoWindowExceedsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenants := []catalog.Tenant{
			{Name: "small", Quota: catalog.Quota{RatePerSecond: 4, Burst: 6}},
			{Name: "large", Quota: catalog.Quota{RatePerSecond: 60, Burst: 80}},
		}
		hosts := rapid.IntRange(1, 5).Draw(t, "hosts")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), hosts, tenants)
		kinds := []string{"kill", "restart", "restart", "freeze", "cut", "store-cut", "side", "store-down", "store-up",
			"kill-coordinator", "freeze-coordinator", "lossy", "calm"}
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) simFault {
			return simFault{
				at:    time.Duration(rapid.IntRange(0, 60_000).Draw(t, "at")) * ms,
				lasts: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "lasts")) * ms,
				kind:  rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(0, hosts-1).Draw(t, "host"),
			}
		}), 0, 14).Draw(t, "faults")
		lowerAt := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "lower")) * ms
		// Requests come in bursts, so that the buckets fill up between them.
		period := time.Duration(rapid.IntRange(1, 9).Draw(t, "period")) * time.Second
		returned := rapid.Float64Range(0, 0.9).Draw(t, "returned")
		lowered := mesh.Time(0)
		for elapsed := time.Duration(0); elapsed < 70*time.Second; elapsed += simStep {
			for _, f := range faults {
				if f.at/simStep == elapsed/simStep {
					s.begin(f)
				}
			}
			if lowered == 0 && elapsed >= lowerAt {
				s.lowerLimits(0.2)
				lowered = s.now.Add(1) // requests of this instant came before
			}
			s.step()
			s.burst(elapsed, period, returned)
			for i := range tenants {
				if sum := s.sharesInUse(tenants[i].Name); sum > Whole {
					t.Fatalf("%v: shares of %s in use: %d", elapsed, tenants[i].Name, sum)
				}
			}
		}
		for i := range tenants {
			name := tenants[i].Name
			for from, limit := range map[mesh.Time]catalog.Quota{0: tenants[i].Quota, lowered: s.tenants[i].Quota} {
				if got, allowed := s.worstWindow(name, from), DefaultBounds.Allowed(limit); float64(got) > allowed {
					t.Fatalf("%s: %d requests in a window from %d, allowed %.1f", name, got, from, allowed)
				}
			}
		}
	})
}

// lowerLimits multiplies all limits at all hosts. Frozen hosts learn it when they wake up.
func (s *simulation) lowerLimits(factor float64) {
	lower := slices.Clone(s.tenants)
	for i := range lower {
		lower[i].Quota.RatePerSecond *= factor
		lower[i].Quota.Burst *= factor
	}
	s.tenants = lower
	for _, h := range s.hosts {
		if h.node != nil {
			h.node.Configure(s.now, lower)
		}
	}
}

// burst sends far more requests than the limits allow during the first part of each
// period, to some of the hosts, and few during the rest.
func (s *simulation) burst(elapsed, period time.Duration, returned float64) {
	for _, h := range s.hosts {
		for i := range s.tenants {
			count := s.random.IntN(2)
			if elapsed%period < 300*ms && (int(elapsed/period)+h.index)%2 == 0 {
				count = 1 + int(s.tenants[i].Quota.RatePerSecond/2)
			}
			for range count {
				ends := time.Duration(s.random.Int64N(int64(2 * time.Second)))
				s.request(h, &s.tenants[i], ends, s.random.Float64() < returned)
			}
		}
	}
}
