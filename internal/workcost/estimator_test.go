package workcost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// learner feeds an Estimator with requests whose work depends on the path and, with
// chance, on nothing.
type learner struct {
	e      *Estimator
	now    mesh.Time
	random *rand.Rand
}

func newLearner() *learner {
	return &learner{New(), mesh.Time(time.Hour), rand.New(rand.NewPCG(1, 2))}
}

func (l *learner) request(path string) Request {
	return Request{Route: "r", Tenant: mesh.Tenant(fmt.Sprint("t", l.random.IntN(20))), Method: "GET", Path: fmt.Sprintf("/%s/%d", path, l.random.IntN(1e6))}
}

func (l *learner) learn(n int, work map[string]float64) {
	for range n {
		for path, mean := range work {
			l.e.Record(l.now, l.request(path), mean*math.Exp(0.4*l.random.NormFloat64()))
			l.now = l.now.Add(20 * time.Millisecond)
		}
	}
}

func (l *learner) ratio(a, b string) float64 {
	return l.e.Factor(l.now, l.request(a)) / l.e.Factor(l.now, l.request(b))
}

// Guards against an estimator that needs minutes after a restart, and against one that
// keeps what it learned after the work has changed.
func TestLearnsWithinSecondsAndForgets(t *testing.T) {
	is := is.New(t)
	l := newLearner()
	is.Equal(l.e.Factor(l.now, l.request("big")), 0.0) // unknown
	is.True(!l.e.Ready())
	l.learn(60, map[string]float64{"big": 2, "small": 0.5})
	is.True(l.ratio("big", "small") > 2.5)
	mean := (l.e.Factor(l.now, l.request("big")) + l.e.Factor(l.now, l.request("small"))) / 2
	is.True(mean > 0.8 && mean < 1.25)
	l.learn(200, map[string]float64{"big": 0.5, "small": 2})
	is.True(l.ratio("big", "small") < 0.5)
}

// Guards against predictions from noise where nothing explains the work.
func TestPredictsTheMeanWithoutVisibleDifferences(t *testing.T) {
	is := is.New(t)
	l := newLearner()
	for range 20 {
		l.learn(20, map[string]float64{"a": 1, "b": 1})
		is.Equal(l.e.Factor(l.now, l.request("a")), 1.0)
	}
}

// Guards against memory that grows with invented tenants, paths and routes, and against
// invented values that displace the frequent ones.
func TestInventedValuesAreBounded(t *testing.T) {
	is := is.New(t)
	l := newLearner()
	for i := range 4000 {
		l.learn(1, map[string]float64{"big": 2, "small": 0.5})
		invented := Request{Route: "r", Tenant: mesh.Tenant(fmt.Sprint("x", i)), Method: fmt.Sprint(i), Path: fmt.Sprintf("/x%c%c%c/", 'a'+i%26, 'a'+i/26%26, 'a'+i/676), BodyBytes: i}
		l.e.Record(l.now, invented, 1)
	}
	is.True(l.ratio("big", "small") > 2.5)
	for i := range 10 * maxRoutes {
		l.e.Record(l.now, Request{Route: mesh.Route(fmt.Sprint(i))}, 1)
	}
	is.Equal(len(l.e.routes), maxRoutes)
}

// Guards against a stalled instance whose durations displace what was learned.
func TestStalledRunsHardlyCount(t *testing.T) {
	is := is.New(t)
	l := newLearner()
	l.learn(100, map[string]float64{"big": 2, "small": 0.5})
	for range 5 {
		l.e.Record(l.now, l.request("small"), 1e6)
		l.e.Record(l.now, l.request("small"), math.NaN())
	}
	is.True(l.ratio("big", "small") > 2)
}

func BenchmarkFactorAndRecord(b *testing.B) {
	l := newLearner()
	l.learn(200, map[string]float64{"big": 2, "small": 0.5})
	r := l.request("big")
	b.ReportAllocs()
	for b.Loop() {
		l.e.Record(l.now, r, 2*l.e.Factor(l.now, r))
	}
}
