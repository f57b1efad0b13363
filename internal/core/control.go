package core

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Announcement is what a backend server tells the node on its host.
type Announcement struct {
	Instance mesh.InstanceID     `json:"instance"`
	Service  mesh.Service        `json:"service"`
	Version  mesh.BackendVersion `json:"version"`
	Addr     string              `json:"addr"`
	Slots    uint16              `json:"slots"`
	// Draining is set once the backend server takes no new work.
	Draining bool `json:"draining"`
	// LeaseMillis is the time for which the announcement holds.
	LeaseMillis uint32 `json:"lease_ms"`
}

// Envelope carries all control messages of one step to one peer.
type Envelope struct {
	From        mesh.HostID
	Incarnation mesh.Incarnation
	// Clock is the sender's hybrid logical clock.
	Clock uint64
}

// OperatorRequest is a command of an operator. Exactly one pointer is set.
type OperatorRequest struct {
	// ID matches the reply with its request.
	ID uint64
}

// OperatorReply is the answer to an OperatorRequest.
type OperatorReply struct {
	ID uint64
	// Err is empty on success.
	Err string
}
