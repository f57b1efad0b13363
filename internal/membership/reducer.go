// Package membership keeps the records of all hosts of the mesh: who is
// alive, where it is reached, which backend servers it has, and the implicit
// tree that heartbeats and configuration pushes follow.
//
// It is a pure reducer. Time and seeds are arguments, messages and changes
// are appended to an Output, and iteration order is deterministic.
package membership

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Settings describe the local host.
type Settings struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// ControlAddr and CallAddr are "ip:port".
	ControlAddr string
	CallAddr    string
	// Incarnation is the start time of the process in nanoseconds.
	Incarnation mesh.Incarnation
	// Seeds are control addresses of nodes to join through. The local address
	// may be among them.
	Seeds []string
}

// Announcement is the announcement of a backend server on the local host.
type Announcement struct {
	Backend
	// Addr is the backend server's own address, used by the local gate only.
	Addr string
	// Lease is the time for which the announcement holds.
	Lease time.Duration
}

// Reducer holds the membership state of one node.
type Reducer struct {
	settings Settings
}

// New returns the reducer of a node that has not joined yet.
func New(s Settings) *Reducer { return &Reducer{settings: s} }

// Tick advances time: joins, heartbeats, failure detection, expiry of leases
// and sending of pending records.
func (r *Reducer) Tick(now mesh.Time, seed uint64, out *Output) {}

// Receive handles a message of a peer. Incarnation is that of the sending
// process.
func (r *Reducer) Receive(now mesh.Time, from mesh.HostID, incarnation mesh.Incarnation, m *Message, out *Output) {
}

// Announce takes the announcement of a local backend server. It returns an
// errorx error of type ErrAnnouncement for one that is malformed.
func (r *Reducer) Announce(now mesh.Time, a Announcement, out *Output) error { return nil }

// SetEstablished records that the local node knows its version floor.
func (r *Reducer) SetEstablished(now mesh.Time, out *Output) {}

// Leave announces to the neighbours that the node stops. The reducer sends
// nothing afterwards.
func (r *Reducer) Leave(now mesh.Time, out *Output) {}

// Forget declares a host permanently lost on behalf of an operator. The error
// is of type ErrUnknownHost if there is no record of the host.
func (r *Reducer) Forget(now mesh.Time, host mesh.HostID, out *Output) error { return nil }

// Self returns the record of the local host.
func (r *Reducer) Self() *Record { return nil }

// Joined reports whether the node has reached a seed or needs none.
func (r *Reducer) Joined() bool { return false }

// Expelled reports whether an operator has declared this host lost. The node
// must stop.
func (r *Reducer) Expelled() bool { return false }

// Backend returns the local backend server with its address.
func (r *Reducer) Backend(id mesh.InstanceID) (Announcement, bool) { return Announcement{}, false }

// Backends returns the local backend servers sorted by instance.
func (r *Reducer) Backends() []Announcement { return nil }

// Member returns the record of a host, which may be dead, or nil.
func (r *Reducer) Member(host mesh.HostID) *Record { return nil }

// Members returns the live members of a failure domain in tree order. The
// caller must not change the slice.
func (r *Reducer) Members(domain mesh.FailureDomain) []*Record { return nil }

// Domains returns all known failure domains in ascending order.
func (r *Reducer) Domains() []mesh.FailureDomain { return nil }

// Unreachable reports whether a failure domain cannot be reached from here.
func (r *Reducer) Unreachable(domain mesh.FailureDomain) bool { return false }

// Parent returns the parent in the tree of the local failure domain. It is
// false for the root.
func (r *Reducer) Parent() (mesh.HostID, bool) { return "", false }

// Children returns the children in the tree of the local failure domain.
func (r *Reducer) Children() []mesh.HostID { return nil }

// Readers returns the first ReadersPerDomain live members of a failure domain.
func (r *Reducer) Readers(domain mesh.FailureDomain) []mesh.HostID { return nil }

// IsReader reports whether the local node polls the platform.
func (r *Reducer) IsReader() bool { return false }

// Links returns the peers that changes are pushed to: the neighbours in the
// tree and, for readers, peers in other failure domains.
func (r *Reducer) Links() []mesh.HostID { return nil }

// Exchanges returns the peers that the latest Tick sent a heartbeat or an
// exchange to.
func (r *Reducer) Exchanges() []mesh.HostID { return nil }

// Addr returns the control address of a host.
func (r *Reducer) Addr(host mesh.HostID) (string, bool) { return "", false }
