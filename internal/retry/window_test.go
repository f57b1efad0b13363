package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a retry storm: in any window, a failing service must not get more
// repeats from all nodes together than the budget of the deployment allows.
func TestWindowHoldsSharedBudget(t *testing.T) {
	is := is.New(t)
	const nodes, perSecond, seconds = 11, 30, 40
	budget := WindowBudget{Ratio: 0.2, Extra: 58, Span: 10 * time.Second}
	var windows [nodes]Window
	var requests, repeats [seconds * 10]int // counts per tenth of a second
	for tick := range seconds * 10 {
		now := mesh.Time(tick+1000) * mesh.Time(100*time.Millisecond)
		for n := range windows {
			for range perSecond / 10 {
				windows[n].Request(now, budget, 0)
				requests[tick]++
				if windows[n].Allows(now, budget, FractionLost, nodes) { // every request fails
					windows[n].Repeat(now, budget)
					repeats[tick]++
				}
			}
		}
	}
	for end := 100; end <= len(requests); end++ {
		sent, repeated := 0, 0
		for i := end - 100; i < end; i++ {
			sent, repeated = sent+requests[i], repeated+repeats[i]
		}
		is.True(float64(repeated) <= budget.Ratio*float64(sent)+budget.Extra)
		is.True(repeated > 0) // some repeats are always possible
	}
}

// Guards against repeats that count against the budget forever if no request follows:
// a window must drop old repeats as time passes.
func TestWindowForgetsOldRepeats(t *testing.T) {
	is := is.New(t)
	budget := WindowBudget{Extra: 5, Span: 10 * time.Second}
	var w Window
	now := mesh.Time(time.Hour)
	for w.Allows(now, budget, FractionLost, 1) {
		w.Repeat(now, budget)
	}
	is.True(!w.Allows(now.Add(9*time.Second), budget, FractionLost, 1))
	is.True(w.Allows(now.Add(11*time.Second), budget, FractionLost, 1))
}
