package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const testEpoch = mesh.Time(1_000_000_000_000)

// testMesh is a small mesh whose messages arrive immediately unless drop reports
// true.
type testMesh struct {
	now   mesh.Time
	nodes []*Reducer
	drop  func(from, to *Reducer) bool
}

func newTestMesh(counts ...int) *testMesh {
	m := &testMesh{now: testEpoch}
	for d, count := range counts {
		for i := range count {
			m.nodes = append(m.nodes, New(testSettings(d, i, m.now)))
		}
	}
	return m
}

func testSettings(domain, i int, now mesh.Time) Settings {
	s := Settings{
		Host: mesh.HostID(fmt.Sprintf("d%d-%03d", domain, i)), Domain: mesh.FailureDomain(fmt.Sprintf("d%d", domain)),
		ControlAddr: fmt.Sprintf("10.%d.0.%d:7100", domain, i), CallAddr: fmt.Sprintf("10.%d.0.%d:7000", domain, i),
		Incarnation: mesh.Incarnation(now), Seeds: []string{"10.0.0.0:7100"},
	}
	return s
}

func (m *testMesh) run(d time.Duration) {
	for end := m.now.Add(d); m.now < end; m.now = m.now.Add(100 * time.Millisecond) {
		for _, n := range m.nodes {
			var out Output
			n.Tick(m.now, uint64(m.now), &out)
			m.deliver(n, &out)
		}
	}
}

func (m *testMesh) deliver(from *Reducer, out *Output) {
	incarnation := from.Self().Incarnation
	for _, send := range out.Sends {
		for _, to := range m.nodes {
			if to.settings.ControlAddr != send.Addr || (m.drop != nil && m.drop(from, to)) {
				continue
			}
			messages, err := DecodeMessages(EncodeMessages([]Message{send.Message}))
			if err != nil {
				panic(err)
			}
			var reply Output
			to.Receive(m.now, from.settings.Host, incarnation, &messages[0], &reply)
			m.deliver(to, &reply)
		}
	}
}

// converged reports whether all nodes have the same records.
func (m *testMesh) converged() bool {
	for _, n := range m.nodes {
		if n.table.digest != m.nodes[0].table.digest || len(n.table.records) != len(m.nodes) {
			return false
		}
	}
	return true
}

// Guards against a record order that lets a delayed record replace a newer
// one.
func TestRecordOrder(t *testing.T) {
	is := is.New(t)
	ordered := []Record{
		{Incarnation: 1, State: Alive, Revision: 1}, {Incarnation: 1, State: Alive, Revision: 2},
		{Incarnation: 1, State: Suspect, Revision: 1}, {Incarnation: 1, State: Dead}, {Incarnation: 1, State: Left},
		{Incarnation: 2, State: Alive}, {Incarnation: 2, State: Forgotten},
	}
	for i := range ordered {
		for j := range ordered {
			is.Equal(ordered[i].Supersedes(&ordered[j]), i > j)
		}
	}
}

// Guards against members that differ between nodes after a simultaneous start,
// and against a tree in which parent and child disagree.
func TestJoinAndTree(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(50, 8)
	m.run(20 * time.Second)
	is.True(m.converged())
	for _, n := range m.nodes {
		parent, ok := n.Parent()
		is.Equal(ok, n.Members(n.settings.Domain)[0].Host != n.settings.Host)
		is.True(len(n.Children()) <= FanOut)
		for _, other := range m.nodes {
			if ok && other.settings.Host == parent {
				is.True(contains(other.Children(), n.settings.Host))
			}
		}
		readers := n.Readers(n.settings.Domain)
		is.Equal(len(readers), ReadersPerDomain)
		is.Equal(n.IsReader(), contains(readers, n.settings.Host))
		addr, ok := n.Addr("d1-003")
		is.True(ok)
		is.Equal(addr, "10.1.0.3:7100")
	}
}

func contains(hosts []mesh.HostID, host mesh.HostID) bool {
	for _, h := range hosts {
		if h == host {
			return true
		}
	}
	return false
}

// Guards against a silent member that is not declared dead in time, or that
// another failure domain declares dead.
func TestFailureDetection(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(9, 3)
	m.run(15 * time.Second)
	victim := m.nodes[4]
	m.drop = func(from, to *Reducer) bool { return from == victim || to == victim }
	m.run(SuspectAfter + time.Second)
	is.Equal(m.nodes[0].Member(victim.settings.Host).State, Suspect)
	m.run(DeadAfter - SuspectAfter + time.Second)
	for _, n := range m.nodes {
		if n != victim {
			is.Equal(n.Member(victim.settings.Host).State, Dead)
		}
	}
	is.Equal(m.nodes[0].LiveCount("d0"), 8)
	// The partitioned host receives no messages and declares no other host dead.
	is.Equal(victim.LiveCount("d0"), 9)
	m.drop = nil
	m.run(15 * time.Second)
	is.True(m.converged())
	is.Equal(m.nodes[0].Member(victim.settings.Host).State, Alive)
	is.Equal(m.nodes[0].Member(victim.settings.Host).Started, mesh.Incarnation(testEpoch))
	is.True(m.nodes[0].Member(victim.settings.Host).Incarnation > mesh.Incarnation(testEpoch))
}

// Guards against a stale record that revives a dead member. The second pass
// accepts records in any order and must see the member revived, which shows that
// the test detects this fault.
func TestStaleRecordDoesNotReviveMember(t *testing.T) {
	is := is.New(t)
	for _, checkOrder := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 50 {
			n := New(testSettings(0, 0, testEpoch))
			if !checkOrder {
				n.supersedes = func(*Record, *Record) bool { return true }
			}
			revived := deliverStaleRecords(n, rng)
			if checkOrder {
				is.True(!revived)
			} else if revived {
				return
			}
		}
	}
	t.Fatal("no delivery order revives the member although every record is accepted")
}

// deliverStaleRecords delivers earlier records of a dead member in a random order
// and reports whether the member was live at any time.
func deliverStaleRecords(n *Reducer, rng *rand.Rand) bool {
	stale := []Record{
		{Host: "x", Domain: "d0", Incarnation: 5, Started: 5, State: Alive, Revision: 1},
		{Host: "x", Domain: "d0", Incarnation: 5, Started: 5, State: Alive, Revision: 9},
		{Host: "x", Domain: "d0", Incarnation: 5, Started: 5, State: Suspect, Revision: 9},
		{Host: "x", Domain: "d0", Incarnation: 4, Started: 4, State: Alive, Revision: 30},
	}
	dead := Record{Host: "x", Domain: "d0", Incarnation: 5, Started: 5, State: Dead, Revision: 9}
	var out Output
	n.Receive(testEpoch, "y", 1, &Message{Kind: KindDelta, Records: Batch{dead}}, &out)
	for _, i := range rng.Perm(len(stale)) {
		n.Receive(testEpoch, "x", 5, &Message{Kind: KindHeartbeat, Records: Batch{stale[i]}}, &out)
		if n.Member("x").Live() {
			return true
		}
	}
	return false
}

// Guards against a node that pauses and then declares its neighbours dead for
// the silence during its own pause.
func TestOwnPauseIsNotPeerSilence(t *testing.T) {
	is := is.New(t)
	n := New(testSettings(0, 0, testEpoch))
	n.join.joined = true
	var out Output
	peer := Record{Host: "d0-001", Domain: "d0", ControlAddr: "a:1", Incarnation: 1, Started: 1, State: Alive}
	n.Receive(testEpoch, peer.Host, 1, &Message{Kind: KindHeartbeat, Records: Batch{peer}}, &out)
	n.Tick(testEpoch, 1, &out)
	n.Tick(testEpoch.Add(time.Minute), 2, &out)
	is.Equal(n.Member(peer.Host).State, Alive)
	for i := range 60 {
		n.Tick(testEpoch.Add(time.Minute+time.Duration(i)*100*time.Millisecond), 3, &out)
	}
	is.Equal(n.Member(peer.Host).State, Dead) // silence after the pause counts
}

// Guards against a lost record that is not repaired by comparing digests.
func TestRepairByDigest(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(30)
	m.run(15 * time.Second)
	changed := m.nodes[7]
	var out Output
	is.NoErr(changed.Announce(m.now, testAnnouncement("b1", time.Hour), &out))
	clear(changed.outboxes.byPeer) // the change is never sent as a delta
	changed.outboxes.localQueued = 0
	is.True(!m.converged())
	m.run(6 * time.Second)
	is.True(m.converged())
	is.Equal(len(m.nodes[0].Member(changed.settings.Host).Backends), 1)
}

func testAnnouncement(id mesh.InstanceID, lease time.Duration) Announcement {
	return Announcement{
		Backend: Backend{Instance: id, Service: "roofs", Version: "v1", Slots: 9},
		Addr:    "127.0.0.1:9000", Lease: lease,
	}
}

// Guards against a backend server that other hosts still list as ready after its
// lease has ended or after it has announced that it drains.
func TestLeaseAndDrain(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(9)
	m.run(10 * time.Second)
	n, other := m.nodes[3], m.nodes[8]
	var out Output
	is.NoErr(n.Announce(m.now, testAnnouncement("b1", 3*time.Second), &out))
	m.run(time.Second)
	is.Equal(len(other.Member(n.settings.Host).Backends), 1)
	draining := testAnnouncement("b1", 3*time.Second)
	draining.Draining = true
	is.NoErr(n.Announce(m.now, draining, &out))
	m.run(time.Second)
	is.True(other.Member(n.settings.Host).Backends[0].Draining)
	local, ok := n.Backend("b1")
	is.True(ok)
	is.Equal(local.Addr, "127.0.0.1:9000")
	m.run(4 * time.Second)
	is.Equal(len(n.Backends()), 0)
	is.Equal(len(other.Member(n.settings.Host).Backends), 0)
	is.True(asError(n.Announce(m.now, testAnnouncement("", time.Second), &out)).IsOfType(ErrAnnouncement))
}

// Guards against a host that stops gracefully but stays a live member until
// failure detection declares it dead.
func TestLeave(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(9, 3)
	m.run(10 * time.Second)
	var out Output
	n := m.nodes[5]
	n.SetEstablished(m.now, &out)
	n.Leave(m.now, &out)
	m.deliver(n, &out)
	m.run(time.Second)
	is.Equal(m.nodes[0].Member(n.settings.Host).State, Left)
	is.Equal(m.nodes[11].Member(n.settings.Host).State, Left)
	out.Reset()
	n.Tick(m.now, 1, &out)
	is.Equal(len(out.Sends), 0)
}

// Guards against a forgotten host that rejoins with its old process, and against
// one that cannot rejoin with a new process.
func TestForget(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(9)
	m.run(10 * time.Second)
	n := m.nodes[5]
	var out Output
	is.True(asError(m.nodes[0].Forget(m.now, "nobody", &out)).IsOfType(ErrUnknownHost))
	is.NoErr(m.nodes[0].Forget(m.now, n.settings.Host, &out))
	m.run(3 * time.Second)
	is.True(n.Expelled())
	is.Equal(m.nodes[8].Member(n.settings.Host).State, Forgotten)
	m.nodes[5] = New(testSettings(0, 5, m.now))
	m.run(10 * time.Second)
	is.Equal(m.nodes[8].Member(n.settings.Host).State, Alive)
	is.True(m.converged())
}
