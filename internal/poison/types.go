// Package poison finds requests that crash backend servers and blocks them.
//
// A crash makes every request in flight in the instance a suspect. A suspect
// runs alone in its instance, so only the request that causes a crash is
// counted for a second one and convicted. It is a pure reducer.
package poison

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// ConvictionCrashes is the number of crashes that convicts a request.
	ConvictionCrashes = 2
	// Lifetime is the time for which an entry holds after its last change.
	Lifetime = 10 * time.Minute
	// MaxEntries bounds the table and each message to a peer.
	MaxEntries = 64
)

// Entry is the record of one request. Crashes is zero for a suspect cleared
// by a success; the record is kept so that an older one from a peer does not
// restore the suspicion.
type Entry struct {
	Fingerprint mesh.Fingerprint
	Crashes     uint8
	// At is the time of the last crash or of the success.
	At mesh.Time
}

// Verdict tells how a request may run.
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

// Check is the verdict on one request.
type Check struct {
	Verdict Verdict
	// Crashes is the count to carry in the call's header.
	Crashes uint8
}

// Table holds the suspects and convictions that one node knows. It is not
// safe for concurrent use.
type Table struct {
	entries []Entry
	version uint64
}
