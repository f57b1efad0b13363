package backend

import "sync"

// maxIdentities bounds the record of request identities.
const maxIdentities = 1 << 20

// Executed is the answer of GET /executed. The record lasts as long as the
// process.
type Executed struct {
	// Runs counts the calls that started to run.
	Runs uint64 `json:"runs"`
	// WithoutIdentity counts those among them that carried no identity.
	WithoutIdentity uint64 `json:"without_identity"`
	// Unrecorded counts those whose identity no longer fitted the record.
	Unrecorded uint64 `json:"unrecorded"`
	// Refused counts the calls that were not run, Cancelled and Expired those
	// given up while running.
	Refused   uint64 `json:"refused"`
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	// Counts gives the number of runs by request identity.
	Counts map[string]int `json:"counts"`
}

// record counts runs by request identity. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	executed Executed
}

func newRecord() *record { return &record{executed: Executed{Counts: map[string]int{}}} }

func (r *record) run(id string) {
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

func (r *record) refused() { r.count(&r.executed.Refused) }

func (r *record) cancelled() { r.count(&r.executed.Cancelled) }

func (r *record) expired() { r.count(&r.executed.Expired) }

func (r *record) count(n *uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// snapshot returns the record with the identities that ran at least least
// times.
func (r *record) snapshot(least int) Executed {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.executed
	out.Counts = map[string]int{}
	for id, n := range r.executed.Counts {
		if n >= least {
			out.Counts[id] = n
		}
	}
	return out
}
