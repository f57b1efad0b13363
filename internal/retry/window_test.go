package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a retry storm: a failing service must not get more repeats in
// any window than the deployment's budget, summed over all nodes.
func TestWindowHoldsSharedBudget(t *testing.T) {
	is := is.New(t)
	const nodes, perSecond, seconds = 11, 30, 40
	budget := WindowBudget{Ratio: 0.2, Extra: 58, Span: 10 * time.Second}
	var windows [nodes]Window
	var requests, repeats [seconds * 10]int // by tenth of a second
	for tick := range seconds * 10 {
		now := mesh.Time(tick+1000) * mesh.Time(100*time.Millisecond)
		for n := range windows {
			for range perSecond / 10 {
				windows[n].Request(now, budget, 0)
				requests[tick]++
				if windows[n].Allows(now, budget, PartLost, nodes) { // every request fails
					windows[n].Repeat(now, budget)
					repeats[tick]++
				}
			}
		}
	}
	for end := 100; end <= len(requests); end++ {
		sent, again := 0, 0
		for i := end - 100; i < end; i++ {
			sent, again = sent+requests[i], again+repeats[i]
		}
		is.True(float64(again) <= budget.Ratio*float64(sent)+budget.Extra)
		is.True(again > 0) // some repeats are always possible
	}
}

// Guards against a budget that is lost while no request comes.
func TestWindowForgetsOldRepeats(t *testing.T) {
	is := is.New(t)
	budget := WindowBudget{Extra: 5, Span: 10 * time.Second}
	var w Window
	now := mesh.Time(time.Hour)
	for w.Allows(now, budget, PartLost, 1) {
		w.Repeat(now, budget)
	}
	is.True(!w.Allows(now.Add(9*time.Second), budget, PartLost, 1))
	is.True(w.Allows(now.Add(11*time.Second), budget, PartLost, 1))
}
