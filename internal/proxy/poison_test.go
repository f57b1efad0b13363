package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

// Guards against a busy request that all nodes block after two instances crashed one
// soon after the other for reasons of their own: the first crash makes it a suspect, so
// that it is alone in the second instance.
func TestBusyRequestIsServedAfterUnrelatedCrashes(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			workload := defaultWorkload()
			workload.callShare, workload.balance = 0, 300
			workload.identical = map[string]mesh.RequestHash{"/balance/1": 1}
			workload.crashes = map[time.Duration][]int{8 * time.Second: {10}, 8300 * time.Millisecond: {11}}
			workload.faultStart, workload.faultEnd = 12*time.Second, 16*time.Second // all instances are back
			sim := newMeshSimulation(t, seed, workload)
			sim.run(17 * time.Second)
			sim.logSuccessShares()
			is.True(sim.clientRequests["/balance/1"] > 0)
			is.True(float64(sim.clientSuccesses["/balance/1"]) > 0.9*float64(sim.clientRequests["/balance/1"]))
		})
	}
}

// stableWindow and lateRunsAllowed are the bounds that the users set: a request may reach
// this many instances later than stableWindow after it has crashed the third one.
const (
	stableWindow    = 3 * time.Second
	lateRunsAllowed = 3
)

// Guards against a request that goes on crashing instances, cleared of suspicion although
// none of its runs has ended well.
func TestRequestThatCrashesInstancesIsBlockedByAllNodes(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			workload := defaultWorkload()
			workload.callShare, workload.balance = 0, 20
			workload.identical = map[string]mesh.RequestHash{"/balance/1": 1}
			workload.crashing = 1
			sim := newMeshSimulation(t, seed, workload)
			sim.run(20 * time.Second)
			is := is.New(t)
			is.True(len(sim.instanceCrashes) >= 2)
			late := 0
			for _, at := range sim.instanceCrashes {
				if len(sim.instanceCrashes) > 2 && at.Sub(sim.instanceCrashes[2]) > stableWindow {
					late++
				}
			}
			t.Logf("%d crashes, %d of them late", len(sim.instanceCrashes), late)
			is.True(late <= lateRunsAllowed)
		})
	}
}

// Guards against a conviction that blocks requests which have not crashed any instance: those
// of the same path to another service, of a route that was moved to another service since, of
// another calling service and of another tenant.
func TestConvictionIsOfOneServiceCallerAndTenant(t *testing.T) {
	toward := func(services ...mesh.Service) []catalog.Destination {
		var out []catalog.Destination
		for _, s := range services {
			out = append(out, catalog.Destination{Service: s, Weight: 1})
		}
		return out
	}
	configure := func(tn *testNode, version mesh.ConfigVersion, read []catalog.Destination) {
		s, err := catalog.Build(version, []catalog.Route{
			{Name: "read", Host: "a", Prefix: "/read/", Idempotent: true, Timeout: time.Second, Attempts: 2, Destinations: read},
		}, []catalog.Service{{Name: "s"}, {Name: "t"}}, catalog.ClientLimits{})
		if err != nil {
			tn.Fatal(err)
		}
		tn.step(ConfigurationSeen{s.WithTenants([]catalog.Tenant{{Name: "one"}, {Name: "two"}}, [][]string{{"k1"}, {"k2"}})})
	}
	send := func(tn *testNode, id mesh.CallID, key string) CallEffect {
		return tn.step(CallArrived{Call: id, Host: "a", Path: "/read/1", Hash: 7, Budget: time.Second, Key: key}).Calls[0]
	}
	crashed := AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, Suspicion: poison.Suspicion{Crashes: 2}}
	convict := func(t *testing.T) *testNode {
		tn := newTestNode(t).withConfigAndMembers()
		other := remoteMember("h4", "i4", 1)
		other.Instance.Service = "t"
		tn.step(MembersSeen{Members: []Member{other}})
		configure(tn, 6, toward("s"))
		tn.endAttempt(send(tn, 1, "k1"), crashed)
		if e := send(tn, 2, "k1"); e.Reason != mesh.ReasonPoison {
			t.Fatalf("action %v, reason %v", e.Action, e.Reason)
		}
		return tn
	}
	t.Run("route moved to another service", func(t *testing.T) {
		is := is.New(t)
		tn := convict(t)
		configure(tn, 7, toward("t"))
		e := send(tn, 3, "k1")
		is.Equal(e.Action, CallForward)
		is.Equal(e.Suspicion, poison.Suspicion{})
	})
	t.Run("split over two services", func(t *testing.T) {
		is := is.New(t)
		tn := convict(t)
		configure(tn, 7, toward("s", "t"))
		var forwarded int
		for id := mesh.CallID(10); id < 30; id++ {
			if send(tn, id, "k1").Action == CallForward {
				forwarded++
			}
		}
		is.Equal(forwarded, 10) // each service keeps its share
	})
	t.Run("another calling service", func(t *testing.T) {
		is := is.New(t)
		tn := convict(t)
		tn.node.settings.Service = "caller"
		is.Equal(send(tn, 3, "k1").Action, CallForward)
	})
	t.Run("another tenant", func(t *testing.T) {
		is := is.New(t)
		tn := convict(t)
		is.Equal(send(tn, 3, "k2").Action, CallForward)
	})
}

// Guards against a request that is cleared of its crashes by good runs of another service's.
func TestRunOfAnotherServiceClearsNoCrashes(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.step(InstanceReported{ID: "i0", Service: "s", Version: "v1", Slots: 2, Born: 1, Sequence: 1})
	of := func(s mesh.Service) mesh.Fingerprint { return poison.Request{Hash: 7, Service: s}.Fingerprint() }
	tn.step(PoisonSeen{[]poison.Entry{{Fingerprint: of("t"), Crashes: 1, At: tn.now}}})
	tn.step(GateArrived{Call: 1, Instance: "i0", Route: "read", TimeLeft: time.Second, Fingerprint: of("s"), Suspicion: poison.Suspicion{Crashes: 1}})
	tn.step(GateDone{Call: 1, Result: GateAnswered})
	is.Equal(tn.node.Suspicion(tn.now, of("s")), poison.Suspicion{Cleared: 1})
	is.Equal(tn.node.Suspicion(tn.now, of("t")), poison.Suspicion{Crashes: 1})
}
