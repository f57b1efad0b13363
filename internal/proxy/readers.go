package proxy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// nodesPerReader is the number of nodes of a failure domain per reader of the store. A
// reader answers about two polls a second from each of its followers.
const nodesPerReader = 25

// Role tells whether a node reads the store for its failure domain or follows another
// node that does.
type Role struct {
	// Reader is the node that this node follows, empty if it reads the store itself.
	Reader Member
	// Reads is set if this node reads the store itself.
	Reads bool
	// Substitute is set for a follower that tries to read the store itself when its
	// reader has lost the connection to it.
	Substitute bool
}

// substitutesPerReader is the number of followers per reader that try the store when
// the reader has lost it. It is small because in an outage each refused call is a load
// on the store, and nodes learn changes from their peers as well.
const substitutesPerReader = 3

// Role returns the current role of this node.
func (n *Node) Role() Role {
	nodes := n.nodesByLink(n.settings.Domain)
	ownIndex := slices.IndexFunc(nodes, func(m Member) bool { return m.Host == n.settings.Host })
	readers := readerCount(len(nodes))
	if ownIndex < readers {
		return Role{Reads: true}
	}
	return Role{Reader: nodes[ownIndex%readers], Substitute: ownIndex < readers*(1+substitutesPerReader)}
}

// Readers returns the readers of all failure domains except this node.
func (n *Node) Readers() []Member {
	return slices.DeleteFunc(n.allReaders(), func(m Member) bool { return m.Host == n.settings.Host })
}

// firstReader returns the reader that removes the rows of forgotten hosts, empty if
// there is none.
func (n *Node) firstReader() mesh.HostID {
	if readers := n.allReaders(); len(readers) > 0 {
		return readers[0].Host
	}
	return ""
}

func (n *Node) allReaders() []Member {
	domains := make(map[mesh.FailureDomain]struct{})
	for _, m := range n.members {
		domains[m.Domain] = struct{}{}
	}
	var readers []Member
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		nodes := n.nodesByLink(domain)
		readers = append(readers, nodes[:min(readerCount(len(nodes)), len(nodes))]...)
	}
	return readers
}

func readerCount(nodes int) int { return 1 + nodes/nodesPerReader }

// nodesByLink returns the live nodes of a failure domain in descending order of link
// bandwidth. The first ones read the store, since a reader sends what it has read to
// all its followers.
func (n *Node) nodesByLink(domain mesh.FailureDomain) []Member {
	var nodes []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[host]; m.Domain == domain && m.reachable && !m.Leaving {
			nodes = append(nodes, m.Member)
		}
	}
	slices.SortStableFunc(nodes, func(a, b Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return nodes
}
