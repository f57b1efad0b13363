package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// callInterval is the time between the calls of until.
const callInterval = 20 * ms

// until makes calls until one changes the standing of an instance.
func until(r *Router, now mesh.Time, end func(Target) Result) (Change, mesh.InstanceID) {
	for seed := range uint64(2000) {
		now = now.Add(callInterval)
		c := r.Choose(now, seed, "s", Excluded{})
		if change := r.Done(now, c.Target, end(c.Target)); change != Unchanged {
			return change, c.Target.Instance
		}
	}
	return Unchanged, ""
}

// badAt returns a good answer from all instances but one.
func badAt(id mesh.InstanceID, bad Result) func(Target) Result {
	return func(t Target) Result {
		if t.Instance == id {
			return bad
		}
		return ok(10 * ms)
	}
}

// Guards against an instance that keeps its calls though it fails, cannot be
// reached, hangs or is slow.
func TestOutliersAreEjected(t *testing.T) {
	cases := map[string]struct {
		bad  Result
		want Change
	}{
		"failed answers":   {Result{Outcome: mesh.Answered, Failed: true, Latency: ms}, EjectedFailures},
		"refused":          {Result{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost}, EjectedConnection},
		"lost connections": {Result{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost}, EjectedConnection},
		"timeouts":         {Result{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDeadline, Latency: 12 * ms}, EjectedFailures},
		"slow":             {ok(100 * ms), EjectedSlow},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(fleet(4, "v1"))
			change, id := until(r, start, badAt("a-v1-1", c.bad))
			is.Equal(change, c.want)
			is.Equal(id, mesh.InstanceID("a-v1-1"))
			instances, _ := spread(r, start, 500, good) // before the ejection ends
			is.Equal(instances["a-v1-1"], 0)
		})
	}
}

// Guards against the ejection of instances that are busy or shed load, which
// would move their calls to the rest and overload it too.
func TestRefusalsAndQueuesDoNotEject(t *testing.T) {
	is := is.New(t)
	r := newRouter(fleet(4, "v1"))
	for _, refusal := range []Result{
		{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload},
		{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonPoison},
		{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDuplicate},
	} {
		change, _ := until(r, start, badAt("a-v1-1", refusal))
		is.Equal(change, Unchanged)
	}
	queued := ok(100 * ms)
	queued.Load.Queued = 3
	change, _ := until(r, start, badAt("a-v1-2", queued))
	is.Equal(change, Unchanged)
}

// Guards against an ejection that never ends, ends without a test, or does not
// grow for an instance that stays bad.
func TestProbeReadmits(t *testing.T) {
	is := is.New(t)
	r := newRouter(fleet(4, "v1"))
	failing := badAt("a-v1-1", Result{Outcome: mesh.Answered, Failed: true})
	until(r, start, failing)
	now := r.instances["a-v1-1"].ejectedUntil
	is.True(!r.Choose(now.Add(-1), 0, "s", Excluded{}).Target.Probe)
	probe := r.Choose(now, 1, "s", Excluded{}).Target
	is.True(probe.Probe)
	is.Equal(probe.Instance, mesh.InstanceID("a-v1-1"))
	is.True(!r.Choose(now, 2, "s", Excluded{}).Target.Probe) // one at a time
	is.Equal(r.Done(now, probe, failing(probe)), Unchanged)
	is.True(!r.Choose(now.Add(ejectionTime), 3, "s", Excluded{}).Target.Probe)
	now = now.Add(2 * ejectionTime)
	probe = r.Choose(now, 4, "s", Excluded{}).Target
	is.True(probe.Probe)
	is.Equal(r.Done(now, probe, ok(10*ms)), Readmitted)
	instances, _ := spread(r, now.Add(rampTime), 400, good)
	is.True(instances["a-v1-1"] > 50)
}

// Guards against a common fault that leaves a service without instances, also
// when healthy instances leave later.
func TestAtMostHalfIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		all := fleet(rapid.IntRange(1, 4).Draw(t, "instances"), "v1")
		r := newRouter(all)
		bad := rapid.SampledFrom([]Result{
			{Outcome: mesh.Answered, Failed: true},
			{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost},
		}).Draw(t, "fault")
		spread(r, start, 300, func(Target) Result { return bad })
		is.True(2*ejectedIn(r) <= len(all))
		left := all[:rapid.IntRange(1, len(all)).Draw(t, "left")]
		r.SetInstances(start, left)
		is.True(2*ejectedIn(r) <= len(left))
		is.Equal(r.Choose(start.Add(time.Second), 1, "s", Excluded{}).Miss, MissNone)
	})
}

// ejectedIn counts the ejected instances and checks the router's own count.
func ejectedIn(r *Router) int {
	n := 0
	for _, inst := range r.services["s"].all {
		if inst.ejected {
			n++
		}
	}
	if n != r.services["s"].ejected {
		return 1 << 20
	}
	return n
}

// Guards against any call to an instance that is excluded, draining or not
// reachable, or of a version that is stopped or without share.
func TestChoiceRespectsAllRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		all := fleet(2, "v1", "v2", "v3")
		for i := range all {
			all[i].Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
			all[i].Reachable = rapid.IntRange(0, 3).Draw(t, "reachable") > 0
		}
		r := newRouter(all)
		parts := rapid.SampledFrom([]BasisPoints{0, 100, 5000})
		shares := Shares{Service: "s",
			Versions: []VersionShare{{"v1", parts.Draw(t, "v1")}, {"v2", parts.Draw(t, "v2")}, {"v3", 0}},
			Stopped:  []mesh.BackendVersion{rapid.SampledFrom([]mesh.BackendVersion{"", "v1", "v2"}).Draw(t, "stopped")}}
		r.SetShares(shares)
		tried := Excluded{Instances: []mesh.InstanceID{all[rapid.IntRange(0, len(all)-1).Draw(t, "tried")].ID}}
		allowed := map[mesh.BackendVersion]bool{}
		for _, v := range shares.Versions {
			allowed[v.Version] = v.Share > 0 && v.Version != shares.Stopped[0]
		}
		for seed := range uint64(50) {
			c := r.Choose(start, seed, "s", tried)
			if c.Miss != MissNone {
				is.True(c.Target.Instance == "")
				continue
			}
			inst := r.instances[c.Target.Instance]
			is.True(allowed[inst.Version] && inst.Reachable && !inst.Draining && inst.ID != tried.Instances[0])
			bad := Result{Outcome: mesh.Answered, Failed: rapid.Bool().Draw(t, "failed")}
			r.Done(start, c.Target, bad)
		}
	})
}
