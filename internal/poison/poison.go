package poison

import (
	"cmp"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// New returns an empty table.
func New() *Table {
	return &Table{entries: make([]Entry, 0, MaxEntries)}
}

// Version returns a number that changes whenever the content of the table changes, so
// that the caller can send the table to peers only then.
func (t *Table) Version() uint64 { return t.version }

// Check returns the verdict on a request before it runs. header is the suspicion in the
// call's header, which carries over from earlier attempts.
func (t *Table) Check(now mesh.Time, f mesh.Fingerprint, header Suspicion) Check {
	suspicion := header
	suspicion.Crashes = min(suspicion.Crashes, ConvictionCrashes)
	if i := t.find(f); i >= 0 && !expired(t.entries[i], now) && t.entries[i].suspicion().Supersedes(suspicion) {
		suspicion = t.entries[i].suspicion()
	}
	verdict := Clean
	switch {
	case suspicion.Crashes >= ConvictionCrashes:
		verdict = Convicted
	case suspicion.Crashes > 0:
		verdict = Suspect
	}
	return Check{Verdict: verdict, Suspicion: suspicion}
}

// CountAfterCrash returns the crash count to send with a retry after an attempt that
// carried headerCrashes has ended in a crash. The entry node does not know what
// else was in flight, so it makes the request a suspect but never convicts it.
func CountAfterCrash(headerCrashes uint8) uint8 { return max(headerCrashes, 1) }

// RecordCrash records that an instance crashed with the given requests in flight.
// With several distinct requests in flight the cause is unknown, so the crash
// makes each one a suspect but never raises a count above one. A request that
// was alone in the instance is charged with the crash, on top of the suspicion that its
// header carried. RecordCrash reports whether this convicted the request.
func (t *Table) RecordCrash(now mesh.Time, inFlight []mesh.Fingerprint, header Suspicion) (convicted bool) {
	if len(inFlight) == 0 {
		return false
	}
	if singleRequest(inFlight) {
		suspicion := t.Check(now, inFlight[0], header).Suspicion
		suspicion.Crashes = min(suspicion.Crashes+1, ConvictionCrashes)
		t.put(now, newEntry(inFlight[0], suspicion, now))
		return suspicion.Crashes == ConvictionCrashes
	}
	for _, f := range inFlight {
		suspicion := t.Check(now, f, Suspicion{}).Suspicion
		suspicion.Crashes = max(1, suspicion.Crashes)
		t.put(now, newEntry(f, suspicion, now))
	}
	return false
}

// RecordSuccess records that a run of a request has ended without a crash. known is the
// suspicion of which the gate knew when the run began. The run clears the request of the
// crashes in it, and of a conviction that followed meanwhile. A run that began before the
// crashes clears nothing. RecordSuccess reports whether the run cleared the request.
func (t *Table) RecordSuccess(now mesh.Time, f mesh.Fingerprint, known Suspicion) (cleared bool) {
	after := Suspicion{Cleared: known.Cleared + 1}
	if known.Crashes == 0 || !after.Supersedes(t.Check(now, f, Suspicion{}).Suspicion) {
		return false
	}
	t.put(now, newEntry(f, after, now))
	return true
}

// Merge adds the entries of a peer to the table. It reports whether the table changed.
func (t *Table) Merge(now mesh.Time, peer []Entry) bool {
	before := t.version
	for _, e := range peer[:min(len(peer), MaxEntries)] {
		e.Crashes = min(e.Crashes, ConvictionCrashes)
		e.At = min(e.At, now) // a peer's clock may run ahead
		if expired(e, now) {
			continue
		}
		if i := t.find(e.Fingerprint); i < 0 || expired(t.entries[i], now) || newer(e, t.entries[i]) {
			t.put(now, e)
		}
	}
	return t.version != before
}

// AppendEntries appends the entries that have not expired to dst, in the order of
// their fingerprints.
func (t *Table) AppendEntries(now mesh.Time, dst []Entry) []Entry {
	start := len(dst)
	for _, e := range t.entries {
		if !expired(e, now) {
			dst = append(dst, e)
		}
	}
	slices.SortFunc(dst[start:], func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return dst
}

// Expire removes the entries whose lifetime has ended.
func (t *Table) Expire(now mesh.Time) {
	n := len(t.entries)
	t.entries = slices.DeleteFunc(t.entries, func(e Entry) bool { return expired(e, now) })
	if len(t.entries) != n {
		t.version++
	}
}

// put adds e, or replaces the entry of the same request. In a full table, e replaces
// the least valuable entry unless that is worth more than e.
func (t *Table) put(now mesh.Time, e Entry) {
	i := t.find(e.Fingerprint)
	switch {
	case i >= 0:
		t.entries[i] = e
	case len(t.entries) < MaxEntries:
		t.entries = append(t.entries, e)
	default:
		i = t.leastValuable(now)
		if compareValue(t.entries[i], e, now) > 0 {
			return
		}
		t.entries[i] = e
	}
	t.version++
}

func (t *Table) leastValuable(now mesh.Time) int {
	least := 0
	for i := range t.entries {
		if compareValue(t.entries[i], t.entries[least], now) < 0 {
			least = i
		}
	}
	return least
}

func (t *Table) find(f mesh.Fingerprint) int {
	for i := range t.entries {
		if t.entries[i].Fingerprint == f {
			return i
		}
	}
	return -1
}

func expired(e Entry, now mesh.Time) bool { return now.Sub(e.At) >= Lifetime }

// newer reports whether e replaces old. Of two entries with the same suspicion, the later
// one wins.
func newer(e, old Entry) bool {
	if e.suspicion() == old.suspicion() {
		return e.At > old.At
	}
	return e.suspicion().Supersedes(old.suspicion())
}

// compareValue orders entries by how little is lost if they are evicted: expired
// entries first, then cleared ones, suspects and convictions, the oldest of each first.
func compareValue(a, b Entry, now mesh.Time) int {
	if x, y := expired(a, now), expired(b, now); x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.At, b.At),
		cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// singleRequest reports whether all calls in flight are the same request.
func singleRequest(inFlight []mesh.Fingerprint) bool {
	for _, f := range inFlight[1:] {
		if f != inFlight[0] {
			return false
		}
	}
	return true
}
