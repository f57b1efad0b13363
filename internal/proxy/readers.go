package proxy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// nodesPerReader is the number of nodes of a failure domain for each reader of the
// store. A reader answers about two polls a second of each of them.
const nodesPerReader = 25

// Role is the part of a node in reading the store for its failure domain.
type Role struct {
	// Reader is the node that this node follows, unless it reads the store itself.
	Reader Member
	Reads  bool
	// Substitute is set for a follower that tries the store when its reader has
	// lost it.
	Substitute bool
}

// substitutesPerReader is the number of followers of each reader that try the
// store when the reader has lost it. In an outage each refused call is a load on
// the store, and peers tell what changes.
const substitutesPerReader = 3

// Role returns the present role of this node.
func (n *Node) Role() Role {
	nodes := n.byLink(n.settings.Domain)
	own := slices.IndexFunc(nodes, func(m Member) bool { return m.Host == n.settings.Host })
	readers := readerCount(len(nodes))
	if own < readers {
		return Role{Reads: true}
	}
	return Role{Reader: nodes[own%readers], Substitute: own < readers*(1+substitutesPerReader)}
}

// Readers returns the readers of all failure domains, but for this node.
func (n *Node) Readers() []Member {
	return slices.DeleteFunc(n.allReaders(), func(m Member) bool { return m.Host == n.settings.Host })
}

// firstReader returns the reader that removes rows, empty if there is none.
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
		nodes := n.byLink(domain)
		readers = append(readers, nodes[:min(readerCount(len(nodes)), len(nodes))]...)
	}
	return readers
}

func readerCount(nodes int) int { return 1 + nodes/nodesPerReader }

// byLink returns the live nodes of a failure domain. The hosts with the largest
// links come first and read the store, since each reader sends what it has read
// to all its followers.
func (n *Node) byLink(domain mesh.FailureDomain) []Member {
	var nodes []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[host]; m.Domain == domain && m.reachable && !m.Leaving {
			nodes = append(nodes, m.Member)
		}
	}
	slices.SortStableFunc(nodes, func(a, b Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return nodes
}
