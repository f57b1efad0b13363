package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// State is the state of a member. A higher state supersedes a lower one of
// the same incarnation.
type State uint8

// States of a member.
const (
	// Alive means that the member answers its neighbours.
	Alive State = iota + 1
	// Suspect means that a neighbour has received no message from the member
	// for SuspectAfter.
	Suspect
	// Dead means that a neighbour, which is of the same failure domain, has
	// received no message from the member for DeadAfter.
	Dead
	// Left means that the member announced a graceful stop.
	Left
	// Forgotten means that an operator declared the host permanently lost.
	// Only a process started after the declaration can join again.
	Forgotten
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left", Forgotten: "forgotten"}

// String returns the name of the state for logs and operators.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Backend is a backend server as it is announced to other hosts.
type Backend struct {
	Instance mesh.InstanceID
	Service  mesh.Service
	Version  mesh.BackendVersion
	Slots    uint16
	// Draining is set once the backend server takes no new work.
	Draining bool
}

// Record describes a host as its node announces it. Records are immutable:
// a change produces a new record that supersedes the old one.
type Record struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// ControlAddr and CallAddr are "ip:port".
	ControlAddr string
	CallAddr    string
	// Incarnation is Started, or a higher value after the node refuted a
	// report that it is suspect or dead.
	Incarnation mesh.Incarnation
	// Started is the start time of the process. Two records with different
	// values describe different processes.
	Started mesh.Incarnation
	State   State
	// Ended is the time at which the member was declared dead, left or
	// forgotten. It is zero for a live member.
	Ended mesh.Time
	// Revision counts the changes of the record within an incarnation.
	Revision uint32
	// Established is set once the node knows its version floor, the lowest
	// configuration version that it may apply.
	Established bool
	// Backends is sorted by instance.
	Backends []Backend
}

// Live reports whether the member takes part in the tree: it is alive or
// suspect.
func (r *Record) Live() bool { return r.State == Alive || r.State == Suspect }

// Supersedes reports whether r is newer than other in the order (incarnation,
// state, revision).
func (r *Record) Supersedes(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.State != other.State {
		return r.State > other.State
	}
	return r.Revision > other.Revision
}

// ID returns the fields that identify this version of the record and order it
// among the others of the host.
func (r *Record) ID() RecordID {
	return RecordID{Host: r.Host, Incarnation: r.Incarnation, State: r.State, Revision: r.Revision}
}

// hash returns the contribution of the record to the digests that cover it.
func (r *Record) hash() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, r.Host...)
	buf = appendUint64(buf, uint64(r.Incarnation))
	buf = append(buf, byte(r.State))
	buf = appendUint64(buf, uint64(r.Revision))
	return xxhash.Sum64(buf)
}

func appendUint64(buf []byte, v uint64) []byte {
	for shift := 0; shift < 64; shift += 8 {
		buf = append(buf, byte(v>>shift))
	}
	return buf
}

// withState returns a copy of r in another state. A member that is no longer
// live serves no calls, so its copy has no backend servers, and Ended is now.
func (r *Record) withState(now mesh.Time, s State) Record {
	next := *r
	next.State = s
	if !next.Live() {
		next.Backends, next.Ended = nil, now
	}
	return next
}

func (r *Record) clone() *Record {
	next := *r
	next.Backends = slices.Clone(r.Backends)
	return &next
}

// RecordID identifies one version of a member's record.
type RecordID struct {
	Host        mesh.HostID
	Incarnation mesh.Incarnation
	State       State
	Revision    uint32
}
