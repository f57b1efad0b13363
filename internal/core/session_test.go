package core

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/claims"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// runWithGolden calls run and compares the trace of g's effects with the golden
// file of the test.
func runWithGolden(t *testing.T, g *nodeGroup, run func()) {
	t.Helper()
	var log strings.Builder
	g.trace(&log)
	run()
	path := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "TestSession")+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(log.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read golden file: %v; run the test with -update", err)
	}
	got, expected := strings.Split(log.String(), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(got), len(expected)) {
		if i >= len(got) || i >= len(expected) || got[i] != expected[i] {
			t.Fatalf("%s differs at line %d:\n got %q\nwant %q", path, i+1, got[i:min(i+1, len(got))], expected[i:min(i+1, len(expected))])
		}
	}
}

var fiveHosts = []string{"ifrane-1", "ifrane-2", "ifrane-3", "azrou-1", "azrou-2"}

// shardOf returns the members of the claim shard of an identity.
func (g *nodeGroup) shardOf(identity string) claims.Shard {
	g.t.Helper()
	id, err := claims.ParseIdentity(identity)
	if err != nil {
		g.t.Fatal(err)
	}
	key := claims.ViewKey(id.Home)
	res := g.store.Execute(&platform.Request{Op: platform.OpRead, Keys: []string{key}})
	view, err := claims.DecodeView(res.Rows[0].Value)
	if err != nil {
		g.t.Fatal(err)
	}
	return view.Shards[id.Shard()]
}

// survivor returns a live host of a failure domain.
func (g *nodeGroup) survivor(domain string) string {
	for _, h := range g.hosts {
		if g.nodes[h] != nil && strings.HasPrefix(h, domain) {
			return h
		}
	}
	g.t.Fatalf("no host of %s is alive", domain)
	return ""
}

// Guards against an order that runs again when its caller resends it to another
// node, to another failure domain or after the death of the claim primary.
func TestSessionOrderResent(t *testing.T) {
	g := newReadyGroupOn(t, fiveHosts...)
	runWithGolden(t, g, func() {
		id := g.identity("ifrane")
		g.order("ifrane-1", 1, id)
		g.order("ifrane-2", 2, id)
		g.order("azrou-1", 3, id)
		g.kill(string(g.shardOf(id).Primary.Host))
		g.order(g.survivor("ifrane"), 4, id)
		g.run(8 * time.Second)
		g.order(g.survivor("ifrane"), 5, id)
		g.order("azrou-2", 6, id)
	})
	is.New(t).Equal(g.executions, 1)
}

// Guards against a claim that is granted twice because both members of its shard
// were lost at once and the restarted members have no record of the first grant,
// and against claims that stay unavailable after the hosts were restarted.
func TestSessionPrimaryAndBackupLost(t *testing.T) {
	is := is.New(t)
	g := newReadyGroupOn(t, fiveHosts...)
	runWithGolden(t, g, func() {
		id := g.identity("ifrane")
		g.order("ifrane-1", 1, id)
		shard := g.shardOf(id)
		killed := []string{string(shard.Primary.Host), string(shard.Backup.Host)}
		g.kill(killed[0])
		g.kill(killed[1])
		g.run(8 * time.Second)
		g.order(g.survivor("ifrane"), 2, id)
		is.Equal(g.results[2].Reason, mesh.ReasonClaimUnavailable)
		for _, h := range killed {
			g.start(h)
			g.announce(h, "v1")
		}
		g.run(8 * time.Second)
		g.order("ifrane-1", 3, id)
		is.Equal(g.results[3].Outcome, mesh.MayHaveRun)
		is.Equal(g.order("ifrane-2", 4, g.identity("ifrane")).Action, CallRespond)
	})
	is.Equal(g.executions, 2)
}

// Guards against orders that fail while the platform is unreachable, and against
// an order that runs twice while no view change is possible.
func TestSessionOrderWithoutPlatform(t *testing.T) {
	is := is.New(t)
	g := newReadyGroupOn(t, fiveHosts...)
	runWithGolden(t, g, func() {
		for _, h := range g.hosts {
			g.platformDown[h] = true
		}
		g.run(5 * time.Second)
		id := g.identity("ifrane")
		g.order("azrou-1", 1, id)
		is.Equal(g.results[1].Action, CallRespond)
		g.order("ifrane-2", 2, id)
		g.kill(string(g.shardOf(id).Primary.Host))
		g.run(10 * time.Second)
		g.order(g.survivor("ifrane"), 3, id)
		is.Equal(g.results[3].Reason, mesh.ReasonClaimUnavailable)
		clear(g.platformDown)
		g.run(8 * time.Second)
		g.order(g.survivor("ifrane"), 4, id)
		is.Equal(g.results[4].Reason, mesh.ReasonDuplicate)
	})
	is.Equal(g.executions, 1)
}

// Guards against a lookup that fails because its first target failed although
// another one can answer, and against retries beyond the retry budget.
func TestSessionLookupRetried(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	failuresLeft := 1
	g.backend = func(string, mesh.BackendVersion) GateDone {
		if failuresLeft--; failuresLeft >= 0 {
			return GateDone{Result: GateLost}
		}
		return GateDone{Result: GateAnswered}
	}
	runWithGolden(t, g, func() {
		is.Equal(g.lookup("ifrane-1", 1).Action, CallRespond)
		failuresLeft = 1000
		for id := mesh.CallID(2); id < 32; id++ {
			g.lookup("ifrane-1", id)
		}
	})
	retries := g.nodes["ifrane-1"].Counters().Retries
	is.True(retries >= 2)
	is.True(retries <= 10+31/10) // the burst of the budget and its share of the calls
}

// Guards against a request that keeps crashing backend servers when it is resent
// to nodes in two failure domains, and against ordinary requests that are blocked
// because they ran at the same time.
func TestSessionCrashingRequest(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	crashing := func(id mesh.CallID) CallArrived {
		return CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/13"), Hash: 13}
	}
	ordinary := func(id mesh.CallID) CallArrived {
		return CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/7"), Hash: 7}
	}
	g.serviceTime = func() time.Duration { return 20 * time.Millisecond }
	g.backendForCall = func(id mesh.CallID) GateDone {
		if id < 20 {
			return GateDone{Result: GateLost, Crashed: true}
		}
		return GateDone{Result: GateAnswered}
	}
	runWithGolden(t, g, func() {
		for i, h := range []string{"ifrane-1", "azrou-1", "ifrane-2", "azrou-2"} {
			for _, b := range g.hosts {
				g.announce(b, "v1") // crashed backend servers restart
			}
			g.send(h, crashing(mesh.CallID(10+i)))
			for j := range 4 {
				g.send(h, ordinary(mesh.CallID(20+4*i+j)))
			}
			g.run(3 * time.Second)
		}
	})
	for i := range mesh.CallID(16) {
		is.Equal(g.results[20+i].Action, CallRespond)
	}
	is.Equal(g.results[13].Reason, mesh.ReasonPoison)
	is.True(g.executionsByCall[10]+g.executionsByCall[11]+g.executionsByCall[12]+g.executionsByCall[13] <= 3) // one crash next to other calls, two while the call ran alone
}

// Guards against calls that still reach a backend server or node after it
// announced its graceful stop, and against lookups that fail during the stop.
func TestSessionDrain(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	lastCall := map[string]mesh.Time{}
	g.backend = func(h string, _ mesh.BackendVersion) GateDone {
		lastCall[h] = g.now
		return GateDone{Result: GateAnswered}
	}
	id := mesh.CallID(0)
	sendCallsFor := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; {
			id++
			g.send("azrou-1", CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/7")})
			id++
			g.send("ifrane-1", CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/7")})
			g.run(5 * time.Millisecond)
		}
	}
	sendCallsFor(time.Second)
	start := g.now
	g.step("ifrane-2", Event{Kind: KindAnnounced, Announcement: &Announcement{
		Instance: "ifrane-2-v1", Service: "stock", Version: "v1", Addr: "ifrane-2:1", Slots: 9, Draining: true, LeaseMillis: 600_000,
	}})
	sendCallsFor(3 * time.Second)
	is.True(lastCall["ifrane-2"] <= start) // the gate stops dispatching at once
	start = g.now
	var log strings.Builder
	g.step("azrou-2", Event{Kind: KindDrain})
	g.trace(&log)
	sendCallsFor(3 * time.Second)
	is.True(lastCall["azrou-2"].Sub(start) <= 10*time.Millisecond)
	is.True(g.drained["azrou-2"])
	g.onEvent, g.onEffects = nil, nil
	for i := mesh.CallID(1); i <= id; i++ {
		is.Equal(g.results[i].Action, CallRespond)
	}
}

// Guards against a partition that makes calls within one side fail, lets an order
// run twice, or still has effects after it ended.
func TestSessionPartition(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	runWithGolden(t, g, func() {
		id := g.identity("ifrane")
		g.order("ifrane-1", 1, id)
		g.partitioned = inDifferentDomains
		g.run(6 * time.Second)
		is.Equal(g.lookup("ifrane-1", 2).Action, CallRespond)
		is.Equal(g.lookup("azrou-1", 3).Action, CallRespond)
		is.Equal(g.order("azrou-1", 4, id).Outcome, mesh.MayHaveRun)
		is.Equal(g.order("azrou-2", 5, g.identity("azrou")).Action, CallRespond)
		g.partitioned = nil
		g.run(6 * time.Second)
		is.Equal(g.order("azrou-1", 6, id).Reason, mesh.ReasonDuplicate)
		is.Equal(g.order("azrou-1", 7, g.identity("ifrane")).Action, CallRespond)
	})
	is.Equal(g.executions, 5)
}

// Guards against two operators whose concurrent changes are both accepted as the
// same version, and against nodes with different versions afterwards.
func TestSessionOperatorsRacing(t *testing.T) {
	is := is.New(t)
	g := newNodeGroup(t, "ifrane-1", "ifrane-2", "azrou-1", "azrou-2")
	g.run(3 * time.Second)
	runWithGolden(t, g, func() {
		second := g.startApply("azrou-1", 0, "op-b")
		first := g.apply("ifrane-1", 0, "op-a")
		accepted := 0
		for _, r := range []OperatorReply{first, g.replies[second]} {
			if r.Publish.Status == publish.Done {
				accepted++
			}
			is.Equal(r.Publish.Version, mesh.ConfigVersion(1))
		}
		is.Equal(accepted, 1)
		for _, h := range g.hosts {
			is.Equal(g.nodes[h].Applied(), mesh.ConfigVersion(1))
		}
	})
}

// Guards against a graceful stop of a whole failure domain that interrupts a
// call in flight, runs an order twice, or leaves the other domain without
// service.
func TestSessionDomainStops(t *testing.T) {
	is := is.New(t)
	g := newReadyGroupOn(t, fiveHosts...)
	g.serviceTime = func() time.Duration { return 300 * time.Millisecond }
	runWithGolden(t, g, func() {
		id := g.identity("ifrane")
		g.order("ifrane-1", 1, id)
		for i, h := range []string{"ifrane-1", "ifrane-2", "ifrane-3"} {
			call := mesh.CallID(10 * (i + 1))
			g.send(h, CallArrived{Call: call, Method: []byte("GET"), Path: []byte("/stock/7")})
			g.send(h, orderCall(call+1, g.identity("azrou")))
			g.run(10 * time.Millisecond)
			g.step(h, Event{Kind: KindDrain})
			g.run(2 * time.Second)
			is.Equal(g.results[call].Action, CallRespond)
			is.Equal(g.results[call+1].Action, CallRespond)
			is.True(g.drained[h])
			g.kill(h)
			is.Equal(g.order("azrou-1", call+2, id).Outcome, mesh.MayHaveRun)
		}
		is.Equal(g.lookup("azrou-2", 40).Action, CallRespond)
		is.Equal(g.order("azrou-2", 41, g.identity("azrou")).Action, CallRespond)
	})
	is.Equal(g.executions, 9)
}

// Guards against a graceful stop that leaves the claim shards of the node without
// an owner for the pause between two view changes. Orders are sent every 20 ms.
func TestDrainInterruptsClaimsBriefly(t *testing.T) {
	for _, stopped := range []string{"ifrane-1", "ifrane-2", "ifrane-3"} {
		is := is.New(t)
		g := newReadyGroupOn(t, fiveHosts...)
		entry := map[bool]string{true: "ifrane-2", false: "ifrane-1"}[stopped == "ifrane-1"]
		start := g.now
		g.step(stopped, Event{Kind: KindDrain})
		rejected, lastRejection := 0, time.Duration(0)
		g.onEnd = func(c CallEffect) {
			if c.Action == CallReject {
				rejected, lastRejection = rejected+1, g.now.Sub(start)
			}
		}
		for id := range mesh.CallID(100) {
			g.send(entry, orderCall(id+1, g.identity("ifrane")))
			g.run(20 * time.Millisecond)
		}
		t.Logf("%s stops: %d of 100 orders rejected, the last one after %v", stopped, rejected, lastRejection)
		is.True(lastRejection <= 500*time.Millisecond)
	}
}
