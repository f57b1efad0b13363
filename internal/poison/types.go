// Package poison detects requests that crash backend servers and blocks them.
//
// When an instance crashes, every request that was in flight in it becomes a suspect.
// A suspect runs alone in its instance, so a second crash is charged only to the
// request that causes it, which is then blocked (convicted). A run that began after a
// crash and was answered clears the request: a request that crashes instances crashes
// each one. The package does no I/O; time and crashes are passed in.
package poison

import (
	"cmp"
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

// Suspicion states how far a request is suspected. Nodes learn of crashes and successes in
// any order, and their clocks differ, so suspicions are ordered by Cleared and then by
// Crashes, never by time.
type Suspicion struct {
	// Crashes is the number of crashes charged to the request since it was last cleared.
	Crashes uint8
	// Cleared is the number of times that a success has cleared the request.
	Cleared uint32
}

// Supersedes reports whether s replaces other.
func (s Suspicion) Supersedes(other Suspicion) bool {
	return cmp.Or(cmp.Compare(s.Cleared, other.Cleared), cmp.Compare(s.Crashes, other.Crashes)) > 0
}

// Entry is the record of one request. The record of a cleared request is kept so that
// older suspicion from a peer does not restore it.
type Entry struct {
	Fingerprint mesh.Fingerprint
	Crashes     uint8
	Cleared     uint32
	// At is the time of the last crash, or of the success that cleared the suspect.
	At mesh.Time
}

func newEntry(f mesh.Fingerprint, s Suspicion, at mesh.Time) Entry {
	return Entry{Fingerprint: f, Crashes: s.Crashes, Cleared: s.Cleared, At: at}
}

func (e Entry) suspicion() Suspicion { return Suspicion{Crashes: e.Crashes, Cleared: e.Cleared} }

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
	// Suspicion is to be sent with the call in its header.
	Suspicion Suspicion
}

// Table holds the suspected and convicted requests known to one node. It is not
// safe for concurrent use.
type Table struct {
	entries []Entry
	version uint64
}
