package callsim

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a collapse of goodput, a slow recovery and a retry storm when
// three times the capacity is offered.
func TestOverload(t *testing.T) {
	for _, d := range Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := CheckOverload(Config{Deployment: d, Policy: Chicory, Seed: 1})
			t.Logf("%+v", o)
			is.True(o.GoodputHolds())
			is.True(o.Recovers())
			is.True(o.AttemptsBounded())
		})
	}
}

// Guards against an overload check that passes although load shedding or the
// retry budget is switched off.
func TestOverloadCheckDetectsMissingProtection(t *testing.T) {
	is := is.New(t)
	d := Deployments[1]
	shedding := CheckOverload(Config{Deployment: d, Policy: Chicory, Seed: 1, NoShedding: true})
	is.True(!shedding.GoodputHolds())
	budget := CheckOverload(Config{Deployment: d, Policy: Chicory, Seed: 1, NoBudget: true})
	is.True(!budget.AttemptsBounded())
}

// Guards against a model whose result depends on anything but its seed.
func TestRunsAreReproducible(t *testing.T) {
	is := is.New(t)
	c := Config{Deployment: Deployments[0], Fault: DomainLost, Policy: Chicory, Seed: 3,
		Phases: []Phase{{domainLossTime + membershipDelay + connectTimeout*20, 0.5}}}
	a, b := Run(c), Run(c)
	is.Equal(a.seconds, b.seconds)
	is.True(a.Sum(0, warmUp).Good > 0)
}
