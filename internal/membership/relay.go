package membership

import (
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Records of other failure domains are relayed along the siblings of the tree: a
// parent sends only to its first child, and each child to its next sibling. A
// node thus sends each record about twice instead of FanOut times. When all nodes
// of a large mesh return at once, inner nodes would otherwise need several
// minutes to send the records within their byte budget. Records of the local
// failure domain, whose targets calls prefer, are sent to all neighbours
// directly.

// relayPeers returns the peers to which a record of another failure domain
// that came from source is forwarded.
func (r *Reducer) relayPeers(source mesh.HostID) []mesh.HostID {
	peers := r.successors()
	if predecessor, ok := r.predecessor(); ok && predecessor != source {
		if parent, ok := r.Parent(); ok && parent != source {
			peers = append(peers, parent)
		}
	}
	for _, host := range r.Links() {
		if !slices.Contains(r.neighbours, host) {
			peers = append(peers, host)
		}
	}
	return peers
}

// successors returns the next sibling and the first child.
func (r *Reducer) successors() []mesh.HostID {
	var hosts []mesh.HostID
	members := r.Members(r.settings.Domain)
	i, ok := r.selfIndex()
	if !ok {
		return nil
	}
	if i%FanOut != 0 && i+1 < len(members) {
		hosts = append(hosts, members[i+1].Host)
	}
	if first := FanOut*i + 1; first < len(members) {
		hosts = append(hosts, members[first].Host)
	}
	return hosts
}

// predecessor returns the previous sibling, or the parent of a first child. The
// second result is false for the root.
func (r *Reducer) predecessor() (mesh.HostID, bool) {
	i, ok := r.selfIndex()
	if !ok || i == 0 {
		return "", false
	}
	if i%FanOut == 1 {
		return r.Parent()
	}
	return r.Members(r.settings.Domain)[i-1].Host, true
}
