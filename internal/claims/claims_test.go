package claims

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const testDomain = mesh.FailureDomain("ifrane")

// identityAt returns an identity created at t. The number distinguishes
// identities that are created at the same time.
func identityAt(t mesh.Time, number byte) Identity {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(int64(t)/int64(time.Millisecond))<<16)
	u[6], u[8], u[15] = 0x70, 0x80, number
	return Identity{Home: testDomain, UUID: u}
}

// cluster simulates the claim reducers of one failure domain and the platform
// row that holds their view. Messages wait in queue until the test delivers or
// drops them.
type cluster struct {
	now     mesh.Time
	nodes   map[mesh.HostID]*State
	hosts   []mesh.HostID
	started map[mesh.HostID]mesh.Time
	// Hosts in reportedDead are missing from Live but keep running; hosts in
	// stopped process nothing.
	reportedDead map[mesh.HostID]bool
	stopped      map[mesh.HostID]bool
	queue        []Send
	row          platform.Row
	verdicts     map[mesh.HostID][]CallVerdict
}

func newCluster(hosts ...mesh.HostID) *cluster {
	g := &cluster{
		now: mesh.Time(time.Hour), nodes: map[mesh.HostID]*State{}, hosts: hosts,
		started: map[mesh.HostID]mesh.Time{}, reportedDead: map[mesh.HostID]bool{}, stopped: map[mesh.HostID]bool{},
		verdicts: map[mesh.HostID][]CallVerdict{},
	}
	for _, h := range hosts {
		g.start(h)
	}
	return g
}

// start starts or restarts the process of a host.
func (g *cluster) start(h mesh.HostID) {
	g.started[h] = g.now
	g.reportedDead[h], g.stopped[h] = false, false
	g.nodes[h] = New(Replica{Host: h, Started: g.now}, testDomain)
}

// Live implements Directory.
func (g *cluster) Live(mesh.FailureDomain) []Replica {
	var live []Replica
	for _, h := range g.hosts {
		if !g.reportedDead[h] {
			live = append(live, Replica{Host: h, Started: g.started[h]})
		}
	}
	return live
}

// Ended implements Directory.
func (g *cluster) Ended(r Replica) bool { return g.started[r.Host] > r.Started }

// applyEffects queues the messages of a host, delivers its views to all nodes at
// once and executes its platform requests.
func (g *cluster) applyEffects(h mesh.HostID, out *Effects) {
	g.queue = append(g.queue, out.Sends...)
	g.verdicts[h] = append(g.verdicts[h], out.Verdicts...)
	for _, item := range out.Items {
		for _, n := range g.nodes {
			if err := n.SetView(item.Value); err != nil {
				panic(err)
			}
		}
	}
	for _, r := range out.Platform {
		res := g.runPlatformRequest(r)
		var next Effects
		g.nodes[h].PlatformResult(g.now, &res, &next)
		g.applyEffects(h, &next)
	}
}

// runPlatformRequest executes a request on the table, which has one row.
func (g *cluster) runPlatformRequest(r platform.Request) platform.Result {
	res := platform.Result{ID: r.ID, Op: r.Op, Status: platform.OK}
	if r.Op == platform.OpCommit {
		if r.Txn.Checks[0].Revision != g.row.Revision {
			res.Status = platform.Conflict
			return res
		}
		g.row = platform.Row{Key: r.Txn.Puts[0].Key, Value: r.Txn.Puts[0].Value, Revision: g.row.Revision + 1}
	}
	if g.row.Revision > 0 {
		res.Rows = []platform.Row{g.row}
	}
	return res
}

// deliver removes message i from the queue. A stopped host does not receive it.
func (g *cluster) deliver(i int) {
	s := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	if n := g.nodes[s.To]; !g.stopped[s.To] {
		var out Effects
		n.Receive(g.now, &s.Message, &out)
		g.applyEffects(s.To, &out)
	}
}

func (g *cluster) deliverAll() {
	for len(g.queue) > 0 {
		g.deliver(0)
	}
}

// stop ends a process and reports it as dead.
func (g *cluster) stop(h mesh.HostID) { g.reportedDead[h], g.stopped[h] = true, true }

// tick advances time and makes the first running host the manager.
func (g *cluster) tick(d time.Duration) {
	g.now = g.now.Add(d)
	manager := true
	for _, h := range g.hosts {
		if g.stopped[h] {
			continue
		}
		var out Effects
		if live := g.Live(testDomain); len(live) > 0 {
			g.nodes[h].SetManagers([]mesh.HostID{live[0].Host})
		}
		g.nodes[h].Tick(g.now, g, manager, &out)
		g.applyEffects(h, &out)
		manager = false
	}
}

// settle advances time by d in ticks and delivers all messages.
func (g *cluster) settle(d time.Duration) {
	for end := g.now.Add(d); g.now < end; {
		g.tick(100 * time.Millisecond)
		g.deliverAll()
	}
}

// claim claims an identity at a host, delivers all messages and returns the
// verdict, or 0 if there is none.
func (g *cluster) claim(h mesh.HostID, call mesh.CallID, id Identity) Verdict {
	var out Effects
	g.nodes[h].Claim(g.now, call, id, &out)
	g.applyEffects(h, &out)
	g.deliverAll()
	return g.verdictOf(h, call)
}

func (g *cluster) verdictOf(h mesh.HostID, call mesh.CallID) Verdict {
	for _, v := range g.verdicts[h] {
		if v.Call == call {
			return v.Verdict
		}
	}
	return 0
}

// shard returns the shard of an identity in the stored view.
func (g *cluster) shard(id Identity) *Shard {
	v, err := DecodeView(g.row.Value)
	if err != nil {
		panic(err)
	}
	return &v.Shards[id.Shard()]
}

// Guards against a resend of a granted request running a second time, through
// another entry node, after the death of the primary and after its return.
func TestResendIsNeverGrantedAgain(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b", "c")
	g.settle(30 * time.Second)
	id := identityAt(g.now, 1)
	is.Equal(g.claim("a", 1, id), VerdictGranted)
	is.Equal(g.claim("b", 2, id), VerdictDuplicate)
	primary := g.shard(id).Primary.Host
	g.stop(primary)
	g.settle(10 * time.Second)
	for call, h := range g.hosts {
		if !g.reportedDead[h] {
			is.Equal(g.claim(h, mesh.CallID(10+call), id), VerdictDuplicate)
		}
	}
	g.start(primary)
	g.settle(60 * time.Second)
	is.Equal(g.claim(primary, 20, id), VerdictDuplicate)
}

// Guards against a request that definitely did not run being refused for ever.
func TestReleasedIdentityIsGrantedAgain(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b")
	g.settle(30 * time.Second)
	id := identityAt(g.now, 2)
	is.Equal(g.claim("a", 1, id), VerdictGranted)
	var out Effects
	g.nodes["a"].Release(g.now, 1, &out)
	g.applyEffects("a", &out)
	g.deliverAll()
	is.Equal(g.claim("b", 2, id), VerdictGranted)
	is.Equal(g.claim("a", 3, id), VerdictDuplicate)
}

// Guards against treating lost records as if there had never been any: after
// all members have restarted, an identity that was created before must not be
// granted.
func TestIdentityOlderThanTheViewIsDuplicate(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b")
	g.settle(30 * time.Second)
	id := identityAt(g.now, 3)
	is.Equal(g.claim("a", 1, id), VerdictGranted)
	g.now = g.now.Add(time.Second)
	g.start("a")
	g.start("b")
	g.settle(30 * time.Second)
	is.Equal(g.claim("a", 2, id), VerdictDuplicate)
	is.Equal(g.claim("a", 3, identityAt(g.now, 3)), VerdictGranted)
}

// Guards against two sets of members for one shard: while both members are
// unreachable but may be alive, no other pair may take over.
func TestNoTakeoverWhileMembersMayBeAlive(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b", "c")
	g.settle(60 * time.Second)
	id := identityAt(g.now, 4)
	s := g.shard(id)
	g.stop(s.Primary.Host)
	g.stop(s.Backup.Host)
	g.settle(30 * time.Second)
	for _, h := range g.hosts {
		if !g.reportedDead[h] {
			is.True(g.claim(h, 1, id) != VerdictGranted)
		}
	}
}

// Guards against a wrong clock of a caller letting a request run twice.
func TestIdentityOutsideTheTimeBounds(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b")
	g.settle(30 * time.Second)
	is.Equal(g.claim("a", 1, identityAt(g.now.Add(time.Minute), 5)), VerdictFuture)
	is.Equal(g.claim("a", 2, identityAt(g.now.Add(1500*time.Millisecond), 5)), VerdictUnavailable)
	is.Equal(g.claim("a", 3, identityAt(g.now.Add(-RetentionWindow-time.Second), 5)), VerdictDuplicate)
}

// Guards against a second run under message loss, reordering, duplication,
// restarts and false death reports in any order.
func TestAtMostOneGrantUnderFaults(t *testing.T) {
	rapid.Check(t, checkAtMostOneGrant)
}

func checkAtMostOneGrant(t *rapid.T) {
	g := newCluster("a", "b", "c")
	g.settle(10 * time.Second)
	id := identityAt(g.now, 6)
	unreleased := map[mesh.CallID]bool{} // granted calls whose release was not sent
	var call mesh.CallID
	processed := map[mesh.HostID]int{}
	collectGrants := func() {
		for h, vs := range g.verdicts {
			for _, v := range vs[processed[h]:] {
				if v.Verdict == VerdictGranted {
					unreleased[v.Call] = true
				}
			}
			processed[h] = len(vs)
		}
		if len(unreleased) > 1 {
			t.Fatalf("identity granted %d times without a release", len(unreleased))
		}
	}
	for range rapid.IntRange(10, 80).Draw(t, "steps") {
		h := rapid.SampledFrom(g.hosts).Draw(t, "host")
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			call++
			var out Effects
			if !g.stopped[h] {
				g.nodes[h].Claim(g.now, call, id, &out)
				g.applyEffects(h, &out)
			}
		case 2:
			for c := range unreleased {
				if gr, ok := g.nodes[h].grants[c]; ok && gr.id == id {
					var out Effects
					delete(unreleased, c)
					g.nodes[h].Release(g.now, c, &out)
					g.applyEffects(h, &out)
				}
			}
		case 3:
			g.reportedDead[h] = !g.reportedDead[h] // a false death report, or its end
			g.stopped[h] = g.reportedDead[h] && rapid.Bool().Draw(t, "paused")
		case 4:
			g.now = g.now.Add(time.Millisecond)
			g.start(h)
		case 5:
			if len(g.queue) > 0 {
				i := rapid.IntRange(0, len(g.queue)-1).Draw(t, "dropped")
				g.queue = slices.Delete(g.queue, i, i+1)
			}
		case 6:
			if len(g.queue) > 0 {
				g.queue = append(g.queue, g.queue[rapid.IntRange(0, len(g.queue)-1).Draw(t, "duplicated")])
			}
		case 7, 8:
			for range min(len(g.queue), 5) {
				g.deliver(rapid.IntRange(0, len(g.queue)-1).Draw(t, "delivered"))
			}
		case 9:
			g.tick(time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		collectGrants()
	}
}

// Guards against a view that is too large for the control budget of an inner
// node, which sends each change to six children.
func TestEncodedViewIsSmall(t *testing.T) {
	v := &View{Domain: testDomain, Shards: make([]Shard, ShardCount)}
	for i := range v.Shards {
		replica := func(n int) Replica {
			return Replica{Host: mesh.HostID(fmt.Sprintf("ifrane-%03d", n)), Started: mesh.Time(1.79e18) + mesh.Time(n*7919)}
		}
		v.Shards[i] = Shard{Epoch: uint64(3 + i%5), Primary: replica(i), Backup: replica(64 + i), Since: mesh.Time(1.79e18)}
	}
	if n := len(v.Encode()); n > 2048 {
		t.Fatalf("view with 128 replicas has %d bytes, more than 2048", n)
	}
}

// Guards against a malformed or hostile view row that crashes the process.
func FuzzDecodeView(f *testing.F) {
	f.Add((&View{Domain: testDomain, Shards: make([]Shard, ShardCount)}).Encode())
	f.Add([]byte(`{"shards":[{"p":7}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if v, err := DecodeView(b); err == nil {
			if again, err := DecodeView(v.Encode()); err != nil || again.Step() != v.Step() {
				t.Fatalf("view changes when it is encoded and decoded: %v", err)
			}
		}
	})
}

// Guards against a malformed header being taken for an identity.
func FuzzParseIdentity(f *testing.F) {
	f.Add("ifrane.01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("ifrane.")
	f.Add(".01890a5d-ac96-774b-bcce-b302099a8057")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseIdentity(s)
		if err != nil {
			return
		}
		if again, err := ParseIdentity(id.String()); err != nil || again != id {
			t.Fatalf("identity %q changes when it is formatted and parsed", s)
		}
	})
}

// Guards against a planned stop that loses records: once the leaving member has
// handed its shard over, an identity granted before is still a duplicate, and
// new identities are granted.
func TestLeavingMemberHandsItsShardsOver(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b", "c")
	g.settle(60 * time.Second)
	id := identityAt(g.now, 7)
	is.Equal(g.claim("a", 1, id), VerdictGranted)
	leaving := g.shard(id).Primary.Host
	g.nodes[leaving].Leave()
	g.settle(3 * time.Second)
	is.True(!g.nodes[leaving].OwnsShards())
	g.nodes[leaving].Stop()
	g.stop(leaving)
	for i, h := range g.hosts {
		if h != leaving {
			is.Equal(g.claim(h, mesh.CallID(10+i), id), VerdictDuplicate)
			is.Equal(g.claim(h, mesh.CallID(20+i), identityAt(g.now, byte(30+i))), VerdictGranted)
		}
	}
}
