package backend

import "sync"

// maxIdentities is the maximum number of request identities in the record.
const maxIdentities = 1 << 20

// Executed is the response body of GET /executed. The counts cover the lifetime of
// the process.
type Executed struct {
	// Runs counts the calls that started to run.
	Runs uint64 `json:"runs"`
	// WithoutIdentity counts those among them that carried no identity.
	WithoutIdentity uint64 `json:"without_identity"`
	// Unrecorded counts those with a new identity that was not recorded since
	// the record already held maxIdentities.
	Unrecorded uint64 `json:"unrecorded"`
	// Refused counts the calls that were not run. Cancelled and Expired count
	// those that ended early while running, since the peer closed the
	// connection or the deadline passed.
	Refused   uint64 `json:"refused"`
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	// Counts gives the number of runs by request identity.
	Counts map[string]int `json:"counts"`
}

// executionRecord counts runs by request identity. It is safe for concurrent use.
type executionRecord struct {
	mu       sync.Mutex
	executed Executed
}

func newRecord() *executionRecord {
	return &executionRecord{executed: Executed{Counts: map[string]int{}}}
}

func (r *executionRecord) countRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executed.Runs++
	counts := r.executed.Counts
	switch {
	case id == "":
		r.executed.WithoutIdentity++
	case counts[id] == 0 && len(counts) >= maxIdentities:
		r.executed.Unrecorded++
	default:
		counts[id]++
	}
}

func (r *executionRecord) countRefused() { r.increment(&r.executed.Refused) }

func (r *executionRecord) countCancelled() { r.increment(&r.executed.Cancelled) }

func (r *executionRecord) countExpired() { r.increment(&r.executed.Expired) }

func (r *executionRecord) increment(n *uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// snapshot returns the counts, with only those identities that ran at least
// minRuns times.
func (r *executionRecord) snapshot(minRuns int) Executed {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.executed
	out.Counts = map[string]int{}
	for id, n := range r.executed.Counts {
		if n >= minRuns {
			out.Counts[id] = n
		}
	}
	return out
}
