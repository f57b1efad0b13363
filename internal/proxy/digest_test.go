package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

func hosts(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, remote(mesh.HostID(fmt.Sprintf("x%d", i)), mesh.InstanceID(fmt.Sprintf("i%d", i)), 1))
	}
	return list
}

// Guards against exchanges that carry all members of a large deployment whenever
// one has changed, and against a new host that is told only of changes.
func TestPeerGetsTheGroupsThatDiffer(t *testing.T) {
	is := is.New(t)
	const deployment = 2600
	r, peer := newRig(t), newRig(t)
	all := hosts(deployment)
	r.step(MembersSeen{Members: all})
	peer.step(MembersSeen{Members: all})
	is.Equal(len(r.node.MembersDifferingFrom(peer.node.MembersDigest())), 0)
	is.Equal(len(r.node.MembersDifferingFrom(nil)), deployment+1)
	r.step(MembersSeen{Members: []Member{remote("x7", "i7", 2)}})
	list := r.node.MembersDifferingFrom(peer.node.MembersDigest())
	is.True(len(list) > 0 && len(list) < 3*deployment/digestBuckets)
	peer.step(MembersSeen{Members: list})
	is.Equal(r.node.MembersDigest(), peer.node.MembersDigest())
	r.step(MemberRemoved{Host: "x9"})
	peer.step(MemberRemoved{Host: "x9"})
	is.Equal(r.node.MembersDigest(), peer.node.MembersDigest())
}

// Guards against hosts that are gone but come back with each exchange, because
// nodes forget them at different times, and against one that can't come back.
func TestForgottenHostStaysForgotten(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	gone := remote("h1", "i1", 3)
	gone.Leaving = true
	r.step(MembersSeen{Members: []Member{gone}})
	r.now = r.now.Add(leaveTime + ms)
	r.step(Tick{})
	is.Equal(len(r.node.Members()), 1)
	r.step(MembersSeen{Members: []Member{gone}})
	is.Equal(len(r.node.Members()), 1)
	r.step(PeerSeen{Member: gone}) // it lives
	is.Equal(len(r.node.Members()), 2)
	r.step(MemberRemoved{Host: "h1"})
	back := gone
	back.Sequence++
	r.step(MembersSeen{Members: []Member{back}})
	is.Equal(len(r.node.Members()), 2)
}

// vouching returns the digest of a peer that knows a host.
func vouching(t *testing.T, members ...Member) []byte {
	r := newRig(t)
	r.step(MembersSeen{Members: members})
	return r.node.MembersDigest()
}

// Guards against a peer that vouches for what it doesn't know, or has only read.
func TestOnlyKnownHostsAreVouchedFor(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.step(ConfigurationSeen{snapshot(t, 5)})
	r.step(MembersSeen{Members: []Member{remote("h1", "i1", 1)}, FromStore: true})
	r.step(SettledPeerDigest{Digest: vouching(t, remote("h2", "i2", 1))})
	r.step(SettledPeerDigest{Digest: vouching(t, remote("h1", "i1", 2))})
	r.step(SettledPeerDigest{})
	is.Equal(r.call(1, "/read/1").Reason, mesh.ReasonNoTarget)
	is.True(!r.node.Settled(r.now))
	r.now = r.now.Add(settledTime)
	is.True(!r.node.Settled(r.now)) // knows a host by its row
	r.step(PeerSeen{Member: remote("h1", "i1", 1)})
	is.True(r.node.Settled(r.now))
}

// Guards against requests that are placed on hosts that are gone, whose rows a
// restarted node has read (incident inc-2dc9).
func TestHostOfARowIsUsedAfterContact(t *testing.T) {
	is := is.New(t)
	contacts := map[string]Event{
		"exchange":   PeerChecked{Host: "h1", Alive: true},
		"call of it": PeerSeen{Member: remote("h1", "i1", 1)},
		"new record": MembersSeen{Members: []Member{remote("h1", "i1", 2)}},
		"vouched":    SettledPeerDigest{Digest: vouching(t, remote("h1", "i1", 1))},
	}
	for name, contact := range contacts {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.step(ConfigurationSeen{snapshot(t, 5)})
			r.step(MembersSeen{Members: []Member{remote("h1", "i1", 1)}, FromStore: true})
			is.Equal(r.call(1, "/read/1").Reason, mesh.ReasonNoTarget)
			is.Equal(len(r.step(Tick{}).Checks), 0)
			r.now = r.now.Add(firstCheck)
			is.Equal(len(r.step(Tick{}).Checks), 1) // in its own failure domain
			r.step(contact)
			is.Equal(r.call(2, "/read/1").Action, CallForward)
		})
	}
	r := newRig(t)
	far := remote("h2", "i2", 1)
	far.Domain = "b"
	r.step(MembersSeen{Members: []Member{remote("h1", "i1", 1), far}, FromStore: true})
	checks := 0
	for end := r.now.Add(10 * time.Second); r.now < end; r.now = r.now.Add(50 * ms) {
		for _, c := range r.step(Tick{}).Checks {
			checks++
			r.step(PeerChecked{Host: c.Host, Alive: false})
		}
	}
	is.True(checks >= 4 && checks <= 12) // hosts that were never reached are asked ever less often
}

// Guards against random exchanges that load the links between failure domains.
func TestRandomPeersAreMostlyNear(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for i, m := range hosts(40) {
		m.Domain = mesh.FailureDomain("abcd"[i%4 : i%4+1])
		r.step(MembersSeen{Members: []Member{m}})
	}
	away := 0
	const draws = 8000
	for seed := range uint64(draws) {
		if r.node.RandomPeer(seed).Domain != "a" {
			away++
		}
	}
	is.True(away > draws/awayPeerEvery/2 && away < draws/awayPeerEvery)
}

// Guards against a host that stays among the members though another one has its
// address.
func TestHostIsForgottenOnceItsAddressIsTaken(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	next := remote("h9", "i9", 1)
	next.PeerAddr, next.ForwardAddr, next.Incarnation = "h1:2", "h1:1", 7
	r.step(MembersSeen{Members: []Member{next}})
	is.Equal(r.node.members["h1"], nil)
	r.step(MembersSeen{Members: []Member{remote("h1", "i1", 5)}}) // late news
	is.True(r.node.members["h9"] != nil)
}
