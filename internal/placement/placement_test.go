package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

const (
	start        = mesh.Time(time.Hour)
	localDomain  = mesh.FailureDomain("a")
	remoteDomain = mesh.FailureDomain("b")
)

func instances(domains ...mesh.FailureDomain) []routing.Instance {
	var list []routing.Instance
	for i, d := range domains {
		name := strconv.Itoa(i)
		list = append(list, routing.Instance{
			Host: mesh.HostID("h" + name), Domain: d, ID: mesh.InstanceID("i" + name), Service: "s", Version: "v1", Slots: 9, Reachable: true,
		})
	}
	return list
}

var request = Request{Service: "s", Route: "r", Idempotent: true}

// serve sends n requests one after another and counts them by instance. result returns
// the result of a request by the ID of its instance.
func serve(t *Table, now mesh.Time, n int, result func(id mesh.InstanceID) Result) map[mesh.InstanceID]int {
	counts := make(map[mesh.InstanceID]int)
	for i := range n {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		c := t.Choose(at, uint64(i), request)
		counts[c.ID]++
		t.Done(at, c, result(c.ID))
	}
	return counts
}

// Guards against requests that are sent to slow instances while fast ones are free:
// instances of one service differ in speed by more than a factor of two.
func TestPrefersFastInstances(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	table.SetInstances(instances(localDomain, localDomain, localDomain))
	counts := serve(table, start, 400, func(id mesh.InstanceID) Result {
		d := 130 * time.Millisecond
		if id == "i2" {
			d = 56 * time.Millisecond
		}
		return Result{Served: true, Duration: d}
	})
	is.True(counts["i2"] > 300)
}

// Guards against an instance that fails part of its requests but passes its health
// probe and keeps receiving its share of requests, and against one that is never tried
// again after it has recovered.
func TestAvoidsFailingInstanceTemporarily(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	table.SetInstances(instances(localDomain, localDomain, localDomain))
	failing := func(id mesh.InstanceID) Result {
		return Result{Served: true, Failed: id == "i0", Duration: 90 * time.Millisecond}
	}
	counts := serve(table, start, 300, failing)
	is.True(counts["i0"] < 30)
	succeeding := func(mesh.InstanceID) Result { return Result{Served: true, Duration: 90 * time.Millisecond} }
	counts = serve(table, start.Add(10*time.Second), 300, succeeding)
	is.True(counts["i0"] > 50)
}

// Guards against large answers that cross failure domains although a wait in the node's
// own domain costs less, and against small ones that wait for it.
func TestLargeAnswersStayInTheirDomain(t *testing.T) {
	for _, c := range []struct {
		bytes int
		want  mesh.InstanceID
	}{{90_000, "i0"}, {400, "i1"}} {
		is := is.New(t)
		table := New(localDomain)
		table.SetInstances(instances(localDomain, remoteDomain))
		serve(table, start, 100, func(mesh.InstanceID) Result {
			return Result{Served: true, Duration: 72 * time.Millisecond, Bytes: c.bytes}
		})
		now := start.Add(2 * time.Second)
		table.Done(now, table.choose(now, "i0"), Result{HasLoad: true, Load: mesh.Load{Slots: 9, InUse: 9, Queued: 4}})
		is.Equal(table.Choose(now, 1, request).ID, c.want)
	}
}

// choose returns a Choice of the given instance, by excluding all others.
func (t *Table) choose(now mesh.Time, id mesh.InstanceID) Choice {
	for seed := uint64(0); ; seed++ {
		if c := t.Choose(now, seed, Request{Service: "s", Route: "r", Excluded: others(t, id)}); c.ID == id {
			return c
		}
	}
}

func others(t *Table, id mesh.InstanceID) (list []mesh.InstanceID) {
	for other := range t.instances {
		if other != id {
			list = append(list, other)
		}
	}
	return list
}

// Guards against a new version that gets more than its share, and against requests that
// find no instance while the fallback version has some.
func TestRequestsFollowVersionShares(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	list := instances(localDomain, localDomain)
	list[1].Version = "v2"
	table.SetInstances(list)
	table.SetShares(routing.Shares{Service: "s", Fallback: "v1",
		Versions: []routing.VersionShare{{Version: "v2", Share: 600}, {Version: "v1", Share: 9400}}})
	counts := serve(table, start, 5000, func(mesh.InstanceID) Result { return Result{Served: true, Duration: 90 * time.Millisecond} })
	is.True(counts["i1"] > 200 && counts["i1"] < 400) // 300 expected
	list[1].Reachable = false
	table.SetInstances(list)
	counts = serve(table, start, 100, func(mesh.InstanceID) Result { return Result{Served: true} })
	is.Equal(counts["i0"], 100)
}

// Guards against requests to an instance whose gate has reported that it drains.
func TestDrainingInstanceIsAvoided(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	table.SetInstances(instances(localDomain, localDomain))
	table.Done(start, table.choose(start, "i0"), Result{Draining: true})
	counts := serve(table, start, 50, func(mesh.InstanceID) Result { return Result{Served: true} })
	is.Equal(counts["i1"], 50)
}

// Guards against requests that leave the failure domain for an instance with fewer
// failures while all instances fail equally often, because a service further down the
// call chain fails.
func TestSharedFailuresDoNotMoveRequestsAcrossDomains(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	table.SetInstances(instances(localDomain, localDomain, remoteDomain, remoteDomain))
	random := rand.New(rand.NewPCG(1, 1))
	counts := serve(table, start, 600, func(mesh.InstanceID) Result {
		return Result{Served: true, Failed: random.Float64() < 0.45, Duration: 90 * time.Millisecond}
	})
	is.True(counts["i2"]+counts["i3"] < 150)
}

// Guards against requests that wait at one instance while the gate of another expects a
// free slot sooner, and against an instance that is avoided forever after a request to it
// was lost, since nothing reports about it again.
func TestPrefersTheInstanceThatStartsSooner(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	table.SetInstances(instances(localDomain, localDomain))
	full := mesh.Load{Slots: 9, InUse: 9, Queued: 2}
	for seed := uint64(0); table.instances["i0"].reportedAt == 0 || table.instances["i1"].reportedAt == 0; seed++ {
		c := table.Choose(start, seed, request)
		startsIn := 20 * time.Millisecond
		if c.ID == "i0" {
			startsIn = 200 * time.Millisecond
		}
		table.Done(start, c, Result{Load: full, HasLoad: true, StartsIn: startsIn, HasStartsIn: true})
	}
	for seed := range uint64(10) {
		c := table.Choose(start, seed, request)
		is.Equal(c.ID, mesh.InstanceID("i1"))
		table.Done(start, c, Result{})
	}
	later := start.Add(loadLifetime)
	is.Equal(table.expectedTime(later, table.instances["i0"], &request), table.expectedTime(later, table.instances["i1"], &request))
}

// Guards against an instance that counts as slow because it served requests with much
// work.
func TestLargeWorkIsNoSlowness(t *testing.T) {
	is := is.New(t)
	table := New(localDomain)
	table.SetInstances(instances(localDomain, localDomain))
	for i := range 200 {
		req := request
		req.Work = []float64{0.25, 1.75}[i%2]
		req.Excluded = []mesh.InstanceID{mesh.InstanceID([]string{"i0", "i1"}[i%2])}
		c := table.Choose(start, uint64(i), req)
		d := time.Duration(req.Work * float64(100*time.Millisecond))
		if i > 20 {
			work := table.RelativeWork(start, c, d)
			is.True(work > 0.7*req.Work && work < 1.4*req.Work)
		}
		table.Done(start, c, Result{Served: true, Duration: d})
	}
	is.True(table.instances["i0"].slowness.value < 1.2*table.instances["i1"].slowness.value)
	is.True(table.instances["i1"].slowness.value < 1.2*table.instances["i0"].slowness.value)
}
