package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// minFailures is the number of failed answers below which no version is
	// judged to fail: single failures happen on good versions too.
	minFailures = 5
	// failureFactor and failureMargin bound the failed share of the new version
	// relative to the old one.
	failureFactor = 3
	failureMargin = 0.08
	// marginAnswers is the number of answers from which the margin shrinks with the
	// square root of their number, down to leastMargin: the share of many answers
	// varies less by chance. It shrinks only beside comparableAnswers of the old
	// version, without which a disturbance of both cannot be told from a fault.
	marginAnswers     = 60
	leastMargin       = 0.015
	comparableAnswers = 100
	// minMeasured is the number of durations on each side needed to compare them.
	minMeasured = 8
	// slowFactor is the ratio of mean durations from which a version is slow. It
	// exceeds the ratio between the slowest and the fastest sound instance.
	slowFactor = 3
	// minJudgedAnswers is the number of answers from which a single instance is
	// taken into account when instances are compared.
	minJudgedAnswers = 4
)

// tally sums counts of several instances on one route.
type tally struct {
	answers, failures, measured uint32
	busy                        time.Duration
}

func (t *tally) add(c RouteCount) {
	t.answers += c.Answers
	t.failures += c.Failures
	t.measured += c.Measured
	t.busy += c.Busy
}

func (t *tally) failedShare() float64 {
	if t.answers == 0 {
		return 0
	}
	return float64(t.failures) / float64(t.answers)
}

func (t *tally) mean() float64 {
	if t.measured == 0 {
		return 0
	}
	return float64(t.busy) / float64(t.measured)
}

// failing reports whether the new version fails clearly more than the old one.
func failing(next, old tally) bool {
	return next.failures >= minFailures && next.failedShare() > failureFactor*old.failedShare()+margin(next, old)
}

func margin(next, old tally) float64 {
	if next.answers <= marginAnswers || old.answers < comparableAnswers {
		return failureMargin
	}
	return max(failureMargin*math.Sqrt(marginAnswers/float64(next.answers)), leastMargin)
}

func slow(next, old tally) bool {
	return next.measured >= minMeasured && old.measured >= minMeasured && next.mean() > slowFactor*old.mean()
}

// comparison holds the evidence on one roll-out by version and route.
type comparison struct {
	next, old tally
	byRoute   map[mesh.Route]*[2]tally // new version, old version
	instances []Evidence               // of the new version
	routes    []mesh.Route             // in order of first sight
}

func compare(target mesh.BackendVersion, all []Evidence) *comparison {
	c := &comparison{byRoute: make(map[mesh.Route]*[2]tally)}
	for _, e := range all {
		side, total := 1, &c.old
		if e.Version == target {
			side, total = 0, &c.next
			c.instances = append(c.instances, e)
		}
		for _, r := range e.Routes {
			if c.byRoute[r.Route] == nil {
				c.byRoute[r.Route] = new([2]tally)
				c.routes = append(c.routes, r.Route)
			}
			c.byRoute[r.Route][side].add(r)
			total.add(r)
		}
	}
	return c
}

// Judge compares the versions and returns the reason to take the new one back,
// or an empty text. A fault of a single instance is no fault of its version: of
// the instances with enough answers, more than half must show it.
func Judge(target mesh.BackendVersion, all []Evidence) string {
	c := compare(target, all)
	if failing(c.next, c.old) && c.most(func(t tally) bool { return instanceFails(t, c.old) }, "") {
		return fmt.Sprintf("%d of %d answers failed, %d of %d before", c.next.failures, c.next.answers, c.old.failures, c.old.answers)
	}
	for _, name := range c.routes {
		next, old := c.byRoute[name][0], c.byRoute[name][1]
		if failing(next, old) && c.most(func(t tally) bool { return instanceFails(t, old) }, name) {
			return fmt.Sprintf("%d of %d answers failed on route %s, %d of %d before", next.failures, next.answers, name, old.failures, old.answers)
		}
		if slow(next, old) && c.most(func(t tally) bool { return t.measured > 0 && t.mean() > slowFactor*old.mean() }, name) {
			return fmt.Sprintf("answers take %s on route %s, %s before",
				time.Duration(next.mean()).Round(time.Millisecond), name, time.Duration(old.mean()).Round(time.Millisecond))
		}
	}
	return ""
}

// instanceFails judges a single instance, which has few answers: it takes part in a
// fault if it fails more than the old version, by any margin.
func instanceFails(t, old tally) bool {
	return t.failures > 0 && t.failedShare() > failureFactor*old.failedShare()
}

// most reports whether more than half of the instances with enough answers on
// the route show a fault. An empty route stands for all routes.
func (c *comparison) most(faulty func(tally) bool, route mesh.Route) bool {
	judged, bad := 0, 0
	for _, e := range c.instances {
		var t tally
		for _, r := range e.Routes {
			if route == "" || r.Route == route {
				t.add(r)
			}
		}
		if t.answers < minJudgedAnswers {
			continue
		}
		judged++
		if faulty(t) {
			bad++
		}
	}
	return judged == 0 || 2*bad > judged
}
