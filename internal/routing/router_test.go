package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	start = mesh.Time(time.Hour)
	ms    = time.Millisecond
)

// testInstances returns n instances per version in each of the failure domains a
// and b. The router under test belongs to a.
func testInstances(n int, versions ...mesh.BackendVersion) []Instance {
	var all []Instance
	for _, d := range []mesh.FailureDomain{"a", "b"} {
		for _, v := range versions {
			for i := range n {
				id := fmt.Sprintf("%s-%s-%d", d, v, i)
				all = append(all, Instance{Host: mesh.HostID("host-" + id), Domain: d,
					ID: mesh.InstanceID(id), Service: "s", Version: v, Slots: 4, Reachable: true})
			}
		}
	}
	return all
}

func newRouter(all []Instance) *Router {
	r := New("a")
	r.SetInstances(start, all)
	return r
}

// success returns the result of a successful answer after the given latency.
func success(latency time.Duration) Result {
	return Result{Outcome: mesh.Answered, Latency: latency, HasLoad: true, Load: mesh.Load{Slots: 4}}
}

// makeCalls makes calls one after the other and counts the targets by instance
// and by version. result returns the result of a call to its target.
func makeCalls(r *Router, now mesh.Time, calls int, result func(Target) Result) (map[mesh.InstanceID]int, map[mesh.BackendVersion]int) {
	instances, versions := map[mesh.InstanceID]int{}, map[mesh.BackendVersion]int{}
	for seed := range uint64(calls) {
		c := r.Choose(now, seed, "s", Excluded{})
		if c.Miss != MissNone {
			continue
		}
		instances[c.Target.Instance]++
		versions[c.Target.Version]++
		r.Done(now, c.Target, result(c.Target))
	}
	return instances, versions
}

func alwaysSucceed(Target) Result { return success(10 * ms) }

// Guards against calls that leave the local failure domain without need, and
// against a busy failure domain that keeps its calls while others are idle.
func TestLocalDomainPreferredUntilBusy(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(2, "v1"))
	instances, _ := makeCalls(r, start, 200, alwaysSucceed)
	is.Equal(instances["a-v1-0"]+instances["a-v1-1"], 200)
	local, spilled := 0, 0
	for seed := range uint64(14) { // 16 slots in all
		if r.Choose(start, seed, "s", Excluded{}).Spilled {
			spilled++
		} else {
			local++
		}
	}
	is.True(local >= 6)
	is.True(spilled >= 4)
}

// Guards against a preference for the instance that reports more load.
func TestLessLoadedInstanceIsPreferred(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(2, "v1"))
	busy := func(t Target) Result {
		res := success(10 * ms)
		if t.Instance == "a-v1-0" {
			res.Load.InUse = 2
		}
		return res
	}
	makeCalls(r, start, 20, busy)
	instances, _ := makeCalls(r, start, 100, busy)
	is.Equal(instances["a-v1-1"], 100)
	afterDecay, _ := makeCalls(r, start.Add(reportLifetime), 1000, alwaysSucceed)
	is.True(afterDecay["a-v1-0"] > 400) // the old report has decayed
}

// Guards against a version that receives more or fewer calls than its share.
func TestSharesOfVersions(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(2, "v1", "v2", "v3"))
	r.SetShares(Shares{Service: "s", Versions: []VersionShare{{"v1", 9000}, {"v2", 1000}, {"v3", 0}}, Fallback: "v1"})
	_, versions := makeCalls(r, start, 10_000, alwaysSucceed)
	is.True(versions["v2"] > 900 && versions["v2"] < 1100)
	is.Equal(versions["v3"], 0)
	is.Equal(versions["v1"]+versions["v2"], 10_000)
}

// Guards against calls to a stopped version, even when it has the full share.
func TestStoppedVersion(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(2, "v1", "v2", "v3"))
	r.SetShares(Shares{Service: "s", Versions: []VersionShare{{"v2", FullShare}}, Stopped: []mesh.BackendVersion{"v2"}, Fallback: "v1"})
	_, versions := makeCalls(r, start, 100, alwaysSucceed)
	is.Equal(versions, map[mesh.BackendVersion]int{"v1": 100})
	r.SetShares(Shares{Service: "s", Stopped: []mesh.BackendVersion{"v2"}})
	_, versions = makeCalls(r, start, 1000, alwaysSucceed)
	is.Equal(versions["v2"], 0)
	is.True(versions["v1"] > 400 && versions["v3"] > 400) // they share the calls of v2
}

// Guards against a new version that takes all calls because the fallback has no
// instance, and against a Miss that hides that the shares rule out its instances.
func TestNewVersionReceivesOnlyItsShare(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(2, "v2"))
	r.SetShares(Shares{Service: "s", Versions: []VersionShare{{"v1", 9900}, {"v2", 100}}, Fallback: "v1"})
	_, versions := makeCalls(r, start, 10_000, alwaysSucceed)
	is.True(versions["v2"] > 0 && versions["v2"] < 200)
	r.SetShares(Shares{Service: "s", Versions: []VersionShare{{"v1", FullShare}}, Fallback: "v1"})
	is.Equal(r.Choose(start, 1, "s", Excluded{}).Miss, MissWithheld)
	r.SetShares(Shares{Service: "s", Versions: []VersionShare{{"v1", 5000}, {"v2", 5000}}})
	is.Equal(r.Choose(start, 1, "s", Excluded{}).Target.Version, mesh.BackendVersion("v2"))
	is.Equal(r.Choose(start, 1, "other", Excluded{}).Miss, MissNoInstance)
}

// Guards against a retry on the target that has just failed.
func TestExcludedTargets(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(1, "v1"))
	tried := Excluded{Hosts: []mesh.HostID{"host-a-v1-0"}}
	is.Equal(r.Choose(start, 1, "s", tried).Target.Instance, mesh.InstanceID("b-v1-0"))
	tried.Instances = []mesh.InstanceID{"b-v1-0"}
	is.Equal(r.Choose(start, 1, "s", tried).Miss, MissNoInstance)
}

// Guards against calls to instances that drain or cannot be reached, even before
// membership reports the drain.
func TestDrainingAndUnreachableInstances(t *testing.T) {
	is := is.New(t)
	all := testInstances(3, "v1")
	all[0].Draining, all[1].Reachable = true, false
	r := newRouter(all)
	instances, _ := makeCalls(r, start, 100, alwaysSucceed)
	is.Equal(instances, map[mesh.InstanceID]int{"a-v1-2": 100})
	c := r.Choose(start, 1, "s", Excluded{})
	r.Done(start, c.Target, Result{Outcome: mesh.NotRun, Reason: mesh.ReasonDraining})
	instances, _ = makeCalls(r, start, 100, alwaysSucceed)
	is.Equal(instances["a-v1-2"], 0)
}

// Guards against a new instance that receives its full share of calls while it
// is cold, and against one that receives none.
func TestColdStartRamp(t *testing.T) {
	is := is.New(t)
	all := testInstances(4, "v1")
	all[0].FirstAnnounced = start
	r := newRouter(all)
	cold, _ := makeCalls(r, start, 4000, alwaysSucceed)
	is.True(cold["a-v1-0"] > 20 && cold["a-v1-0"] < 300)
	warm, _ := makeCalls(r, start.Add(defaultRamp), 4000, alwaysSucceed)
	is.True(warm["a-v1-0"] > 800)
}

// Guards against an update of the instances that loses the count of calls in
// flight, or keeps the state of an earlier process.
func TestInstanceUpdate(t *testing.T) {
	is := is.New(t)
	all := testInstances(1, "v1")
	r := newRouter(all)
	c := r.Choose(start, 1, "s", Excluded{})
	r.SetInstances(start, all)
	is.Equal(r.instances["a-v1-0"].inFlight, 1)
	all[0].FirstAnnounced = start
	r.SetInstances(start, all)
	is.Equal(r.instances["a-v1-0"].inFlight, 0)
	is.Equal(r.Done(start, c.Target, success(ms)), Unchanged) // of the earlier process
	is.Equal(r.instances["a-v1-0"].inFlight, 0)
}

// Guards against heap allocations for each call.
func TestChooseAndDoneDoNotAllocate(t *testing.T) {
	is := is.New(t)
	r := newRouter(testInstances(15, "v1", "v2"))
	r.SetShares(Shares{Service: "s", Versions: []VersionShare{{"v1", 9900}, {"v2", 100}}, Fallback: "v1"})
	tried := Excluded{Hosts: []mesh.HostID{"host-a-v1-0"}, Instances: []mesh.InstanceID{"a-v1-0"}}
	seed := uint64(0)
	is.Equal(testing.AllocsPerRun(10_000, func() {
		seed++
		c := r.Choose(start, seed, "s", tried)
		r.Done(start, c.Target, success(10*ms))
	}), 0.0)
}

func BenchmarkChooseDone(b *testing.B) {
	r := newRouter(testInstances(15, "v1"))
	b.ReportAllocs()
	for seed := uint64(0); b.Loop(); seed++ {
		c := r.Choose(start, seed, "s", Excluded{})
		r.Done(start, c.Target, success(10*ms))
	}
}
