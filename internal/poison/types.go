// Package poison detects requests that crash backend servers and blocks them.
//
// When an instance crashes, every request that was in flight in it becomes a suspect.
// A suspect runs alone in its instance, so a second crash is charged only to the
// request that causes it, which is then blocked (convicted). The package does no I/O;
// time and crashes are passed in.
package poison

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// ConvictionCrashes is the number of crashes after which a request is convicted.
	ConvictionCrashes = 2
	// Lifetime is the time after its last change at which an entry expires.
	Lifetime = 10 * time.Minute
	// MaxEntries bounds the entries of the table and of each message to a peer.
	MaxEntries = 64
)

// Entry is the record of one request. Crashes is zero for a suspect cleared
// by a success; the record is kept so that an older one from a peer does not
// restore the suspicion.
type Entry struct {
	Fingerprint mesh.Fingerprint
	Crashes     uint8
	// At is the time of the last crash, or of the success that cleared the suspect.
	At mesh.Time
}

// Verdict states whether and how a request may run.
type Verdict uint8

// Verdicts on a request.
const (
	// Clean requests run normally.
	Clean Verdict = iota
	// Suspect requests run alone in their instance.
	Suspect
	// Convicted requests are rejected as may-have-run with reason poison.
	Convicted
)

// Check is the result of checking one request.
type Check struct {
	Verdict Verdict
	// Crashes is the crash count to send with the call in its header.
	Crashes uint8
}

// Table holds the suspected and convicted requests known to one node. It is not
// safe for concurrent use.
type Table struct {
	entries []Entry
	version uint64
}
