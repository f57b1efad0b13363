package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// callInterval is the time between the calls of callUntilChange.
const callInterval = 20 * ms

// callUntilChange makes calls until one ejects or readmits an instance. result
// returns the result of a call to its target.
func callUntilChange(r *Router, now mesh.Time, result func(Target) Result) (Change, mesh.InstanceID) {
	for seed := range uint64(2000) {
		now = now.Add(callInterval)
		c := r.Choose(now, seed, "s", Excluded{})
		if change := r.Done(now, c.Target, result(c.Target)); change != Unchanged {
			return change, c.Target.Instance
		}
	}
	return Unchanged, ""
}

// failOnly returns bad for calls to the instance id and success for all others.
func failOnly(id mesh.InstanceID, bad Result) func(Target) Result {
	return func(t Target) Result {
		if t.Instance == id {
			return bad
		}
		return success(10 * ms)
	}
}

// Guards against an instance that keeps its calls though it fails, cannot be
// reached, hangs or is slow.
func TestOutliersAreEjected(t *testing.T) {
	cases := map[string]struct {
		bad  Result
		want Change
	}{
		"failed answers":      {Result{Outcome: mesh.Answered, Failed: true, Latency: ms}, EjectedFailures},
		"refused connections": {Result{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost}, EjectedConnection},
		"lost connections":    {Result{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost}, EjectedConnection},
		"timeouts":            {Result{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDeadline, Latency: 12 * ms}, EjectedFailures},
		"slow answers":        {success(100 * ms), EjectedSlow},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(testInstances(4, "v1"))
			change, id := callUntilChange(r, start, failOnly("a-v1-1", c.bad))
			is.Equal(change, c.want)
			is.Equal(id, mesh.InstanceID("a-v1-1"))
			instances, _ := makeCalls(r, start, 500, alwaysSucceed) // before the ejection ends
			is.Equal(instances["a-v1-1"], 0)
		})
	}
}

// Guards against the ejection of instances that are busy or shed load, which
// would move their calls to the rest and overload it too.
func TestRefusalsAndQueuesDoNotEject(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(4, "v1"))
	for _, refusal := range []Result{
		{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload},
		{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonPoison},
		{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDuplicate},
	} {
		change, _ := callUntilChange(r, start, failOnly("a-v1-1", refusal))
		is.Equal(change, Unchanged)
	}
	queued := success(100 * ms)
	queued.Load.Queued = 3
	change, _ := callUntilChange(r, start, failOnly("a-v1-2", queued))
	is.Equal(change, Unchanged)
}

// Guards against an ejection that never ends, ends without a probe, or does not
// get longer for an instance that keeps failing.
func TestProbeReadmits(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(4, "v1"))
	failing := failOnly("a-v1-1", Result{Outcome: mesh.Answered, Failed: true})
	callUntilChange(r, start, failing)
	now := r.instances["a-v1-1"].ejectedUntil
	is.True(!r.Choose(now.Add(-1), 0, "s", Excluded{}).Target.Probe)
	probe := r.Choose(now, 1, "s", Excluded{}).Target
	is.True(probe.Probe)
	is.Equal(probe.Instance, mesh.InstanceID("a-v1-1"))
	is.True(!r.Choose(now, 2, "s", Excluded{}).Target.Probe) // one probe at a time
	is.Equal(r.Done(now, probe, failing(probe)), Unchanged)
	is.True(!r.Choose(now.Add(ejectionTime), 3, "s", Excluded{}).Target.Probe)
	now = now.Add(2 * ejectionTime)
	probe = r.Choose(now, 4, "s", Excluded{}).Target
	is.True(probe.Probe)
	is.Equal(r.Done(now, probe, success(10*ms)), Readmitted)
	instances, _ := makeCalls(r, now.Add(defaultRamp), 400, alwaysSucceed)
	is.True(instances["a-v1-1"] > 50)
}

// Guards against a common fault that leaves a service without instances, even
// when healthy instances leave later.
func TestAtMostHalfIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		all := testInstances(rapid.IntRange(1, 4).Draw(t, "instances"), "v1")
		r := newRouter(all)
		bad := rapid.SampledFrom([]Result{
			{Outcome: mesh.Answered, Failed: true},
			{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost},
		}).Draw(t, "fault")
		makeCalls(r, start, 300, func(Target) Result { return bad })
		is.True(2*countEjected(r) <= len(all))
		remaining := all[:rapid.IntRange(1, len(all)).Draw(t, "remaining")]
		r.SetInstances(start, remaining)
		is.True(2*countEjected(r) <= len(remaining))
		is.Equal(r.Choose(start.Add(time.Second), 1, "s", Excluded{}).Miss, MissNone)
	})
}

// countEjected counts the ejected instances. If the router's own count differs,
// it returns a number above any limit, so that the test fails.
func countEjected(r *Router) int {
	n := 0
	for _, inst := range r.services["s"].active {
		if inst.ejected {
			n++
		}
	}
	if n != r.services["s"].ejectedCount {
		return 1 << 20
	}
	return n
}

// Guards against a call to an instance that is excluded, draining or not
// reachable, or whose version is stopped or has share zero.
func TestChooseSkipsIneligibleInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		all := testInstances(2, "v1", "v2", "v3")
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
