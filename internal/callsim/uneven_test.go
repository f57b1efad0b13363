package callsim

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against predicted work that serves callers worse than the mean of the route: on
// loads with visible differences more requests must be answered in time, on others not
// fewer, and no kind of request and no tenant may be starved. The least gains are about
// half of those measured with seeds 1 to 3; -0.01 is two standard deviations of the
// difference of two shares of one run.
func TestPredictedWorkServesCallersBetter(t *testing.T) {
	for _, c := range []struct {
		load      string
		rate      float64
		leastGain float64
	}{
		{"visible", 0.7, -0.01}, {"visible", 1, 0.02}, {"visible", 1.3, 0.1}, {"mixed", 1.3, 0.08},
		{"slow", 1, 0.05}, {"chance", 1, -0.01}, {"even", 1, -0.01},
	} {
		t.Run(c.load, func(t *testing.T) {
			is := is.New(t)
			rows := CompareUneven(1, 1, unevenLoadNamed(c.load), []float64{c.rate}, []UnevenPolicy{ByRoute, ByWork})
			t.Logf("rate %v, in time %.3f by route, %.3f by work", c.rate, rows[0].InTime, rows[1].InTime)
			is.True(rows[1].InTime-rows[0].InTime >= c.leastGain)
			is.True(rows[1].LeastKind >= 0.25)
			is.True(rows[1].LeastTenant >= 0.25)
			is.True(rows[1].Heavy >= 0.25)
		})
	}
}

func unevenLoadNamed(name string) []UnevenLoad {
	for i := range UnevenLoads {
		if UnevenLoads[i].Name == name {
			return UnevenLoads[i : i+1]
		}
	}
	return nil
}

// Guards against a tenant that crowds out the others at 2.2 times the capacity, and
// against one that is starved for it.
func TestSurgingTenantLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	rows := CompareUneven(1, 1, unevenLoadNamed("surge"), []float64{2.2}, []UnevenPolicy{ByRoute, ByWork})
	is.True(rows[0].Others < 0.5)
	is.True(rows[1].Others > 0.7)
	is.True(rows[1].LeastTenant >= 0.25)
}
