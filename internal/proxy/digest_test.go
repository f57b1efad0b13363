package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

func testMembers(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, remoteMember(mesh.HostID(fmt.Sprintf("x%d", i)), mesh.InstanceID(fmt.Sprintf("i%d", i)), 1))
	}
	return list
}

// Guards against exchanges that carry all members of a large deployment whenever one has
// changed, and against a new host that gets only the changes.
func TestPeerGetsOnlyTheBucketsThatDiffer(t *testing.T) {
	is := is.New(t)
	const deployment = 2600
	tn, peer := newTestNode(t), newTestNode(t)
	all := testMembers(deployment)
	tn.step(MembersSeen{Members: all})
	peer.step(MembersSeen{Members: all})
	is.Equal(len(tn.node.MembersDifferingFrom(peer.node.MembersDigest())), 0)
	is.Equal(len(tn.node.MembersDifferingFrom(nil)), deployment+1)
	tn.step(MembersSeen{Members: []Member{remoteMember("x7", "i7", 2)}})
	list := tn.node.MembersDifferingFrom(peer.node.MembersDigest())
	is.True(len(list) > 0 && len(list) < 3*deployment/digestBuckets)
	peer.step(MembersSeen{Members: list})
	is.Equal(tn.node.MembersDigest(), peer.node.MembersDigest())
	tn.step(MemberRemoved{Host: "x9"})
	peer.step(MemberRemoved{Host: "x9"})
	is.Equal(tn.node.MembersDigest(), peer.node.MembersDigest())
}

// Guards against hosts that no longer exist but become members again with each exchange,
// because nodes forget them at different times, and against a restarted host that can't
// become a member again.
func TestForgottenHostStaysForgotten(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	gone := remoteMember("h1", "i1", 3)
	gone.Leaving = true
	tn.step(MembersSeen{Members: []Member{gone}})
	tn.now = tn.now.Add(forgetLeftAfter + ms)
	tn.step(Tick{})
	is.Equal(len(tn.node.Members()), 1)
	tn.step(MembersSeen{Members: []Member{gone}})
	is.Equal(len(tn.node.Members()), 1)
	tn.step(PeerSeen{Member: gone}) // a forgotten host that makes contact is alive
	is.Equal(len(tn.node.Members()), 2)
	tn.step(MemberRemoved{Host: "h1"})
	back := gone
	back.Sequence++
	tn.step(MembersSeen{Members: []Member{back}})
	is.Equal(len(tn.node.Members()), 2)
}

// digestOfNodeWith returns the members' digest of a node that knows the given members.
func digestOfNodeWith(t *testing.T, members ...Member) []byte {
	tn := newTestNode(t)
	tn.step(MembersSeen{Members: members})
	return tn.node.MembersDigest()
}

// Guards against a host that counts as alive by the digest of a peer with no record or
// another record of it, and against a node that is settled while it knows a host only
// from its row.
func TestSettledPeerConfirmsOnlyMatchingRecords(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	tn.step(ConfigurationSeen{testSnapshot(t, 5)})
	tn.step(MembersSeen{Members: []Member{remoteMember("h1", "i1", 1)}, FromStore: true})
	tn.step(SettledPeerDigest{Digest: digestOfNodeWith(t, remoteMember("h2", "i2", 1))})
	tn.step(SettledPeerDigest{Digest: digestOfNodeWith(t, remoteMember("h1", "i1", 2))})
	tn.step(SettledPeerDigest{})
	is.Equal(tn.call(1, "/read/1").Reason, mesh.ReasonNoTarget)
	is.True(!tn.node.Settled(tn.now))
	tn.now = tn.now.Add(settledAge)
	is.True(!tn.node.Settled(tn.now)) // knows a host only from its row
	tn.step(PeerSeen{Member: remoteMember("h1", "i1", 1)})
	is.True(tn.node.Settled(tn.now))
}

// Guards against requests that a restarted node sends to hosts that no longer exist,
// because it has read their rows from the store (incident inc-2dc9).
func TestHostKnownOnlyFromRowIsUsedAfterContact(t *testing.T) {
	is := is.New(t)
	contacts := map[string]Event{
		"exchange":                    PeerChecked{Host: "h1", Alive: true},
		"contacted by it":             PeerSeen{Member: remoteMember("h1", "i1", 1)},
		"new record":                  MembersSeen{Members: []Member{remoteMember("h1", "i1", 2)}},
		"confirmed by a settled peer": SettledPeerDigest{Digest: digestOfNodeWith(t, remoteMember("h1", "i1", 1))},
	}
	for name, contact := range contacts {
		t.Run(name, func(t *testing.T) {
			tn := newTestNode(t)
			tn.step(ConfigurationSeen{testSnapshot(t, 5)})
			tn.step(MembersSeen{Members: []Member{remoteMember("h1", "i1", 1)}, FromStore: true})
			is.Equal(tn.call(1, "/read/1").Reason, mesh.ReasonNoTarget)
			is.Equal(len(tn.step(Tick{}).Checks), 0)
			tn.now = tn.now.Add(firstCheckDelay)
			is.Equal(len(tn.step(Tick{}).Checks), 1) // h1 is in the node's own failure domain
			tn.step(contact)
			is.Equal(tn.call(2, "/read/1").Action, CallForward)
		})
	}
	tn := newTestNode(t)
	remoteDomainHost := remoteMember("h2", "i2", 1)
	remoteDomainHost.Domain = "b"
	tn.step(MembersSeen{Members: []Member{remoteMember("h1", "i1", 1), remoteDomainHost}, FromStore: true})
	checks := 0
	for end := tn.now.Add(10 * time.Second); tn.now < end; tn.now = tn.now.Add(50 * ms) {
		for _, c := range tn.step(Tick{}).Checks {
			checks++
			tn.step(PeerChecked{Host: c.Host, Alive: false})
		}
	}
	is.True(checks >= 4 && checks <= 12) // with backoff, since the hosts were never reached
}

// Guards against random exchanges that use too much bandwidth between failure domains.
func TestRandomPeersAreMostlyInTheSameDomain(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	for i, m := range testMembers(40) {
		m.Domain = mesh.FailureDomain("abcd"[i%4 : i%4+1])
		tn.step(MembersSeen{Members: []Member{m}})
	}
	crossDomain := 0
	const draws = 8000
	for seed := range uint64(draws) {
		if tn.node.RandomPeer(seed).Domain != "a" {
			crossDomain++
		}
	}
	is.True(crossDomain > draws/exchangesPerCrossDomain/2 && crossDomain < draws/exchangesPerCrossDomain)
}

// Guards against a host that remains a member although another host has its address, and
// against a late record of the old host that replaces the new one.
func TestHostIsForgottenOnceItsAddressIsTaken(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	next := remoteMember("h9", "i9", 1)
	next.PeerAddr, next.ForwardAddr, next.Incarnation = "h1:2", "h1:1", 7
	tn.step(MembersSeen{Members: []Member{next}})
	is.Equal(tn.node.members["h1"], nil)
	tn.step(MembersSeen{Members: []Member{remoteMember("h1", "i1", 5)}}) // late record of the replaced host
	is.True(tn.node.members["h9"] != nil)
}
