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

// Version changes whenever the content of the table changes, so that the
// caller sends it to peers only then.
func (t *Table) Version() uint64 { return t.version }

// Check judges a request before it runs. headerCrashes is the count that the
// call carries from earlier attempts.
func (t *Table) Check(now mesh.Time, f mesh.Fingerprint, headerCrashes uint8) Check {
	crashes := min(headerCrashes, ConvictionCrashes)
	if i := t.find(f); i >= 0 && !expired(t.entries[i], now) {
		crashes = max(crashes, t.entries[i].Crashes)
	}
	switch {
	case crashes >= ConvictionCrashes:
		return Check{Verdict: Convicted, Crashes: crashes}
	case crashes > 0:
		return Check{Verdict: Suspect, Crashes: crashes}
	}
	return Check{}
}

// CountAfterCrash returns the count that a retry carries after an attempt with
// the count headerCrashes ended in a crash. The entry node does not know what
// else was in flight, so it never counts beyond a suspicion by itself.
func CountAfterCrash(headerCrashes uint8) uint8 { return max(headerCrashes, 1) }

// RecordCrash records that an instance died with the given requests in flight.
// With several distinct requests in flight the cause is unknown, so the crash
// makes each one a suspect but never raises a count above one. A request that
// was alone in the instance is charged in full, on top of the count that its
// header carried. It reports whether the request was convicted.
func (t *Table) RecordCrash(now mesh.Time, inFlight []mesh.Fingerprint, headerCrashes uint8) (convicted bool) {
	if len(inFlight) == 0 {
		return false
	}
	if alone(inFlight) {
		crashes := min(t.Check(now, inFlight[0], headerCrashes).Crashes+1, ConvictionCrashes)
		t.put(now, Entry{inFlight[0], crashes, now})
		return crashes == ConvictionCrashes
	}
	for _, f := range inFlight {
		t.put(now, Entry{f, max(1, t.Check(now, f, 0).Crashes), now})
	}
	return false
}

// RecordSuccess clears a suspect. It does not lift a conviction.
func (t *Table) RecordSuccess(now mesh.Time, f mesh.Fingerprint) {
	i := t.find(f)
	if i < 0 || t.entries[i].Crashes != 1 {
		return
	}
	t.entries[i].Crashes = 0
	t.entries[i].At = now
	t.version++
}

// Merge adds the entries of a peer. It reports whether the table changed.
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

// AppendEntries appends the entries that still hold to dst, in the order of
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

// put replaces the entry of the same request. In a full table it takes the
// place of the least valuable entry, if that one is worth less than e.
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

// newer reports whether e replaces old. A conviction replaces a suspicion and
// is never replaced by one; otherwise the later record holds.
func newer(e, old Entry) bool {
	if (e.Crashes == ConvictionCrashes) != (old.Crashes == ConvictionCrashes) {
		return e.Crashes == ConvictionCrashes
	}
	return e.At > old.At || e.At == old.At && e.Crashes > old.Crashes
}

// compareValue orders entries by what the table loses without them: expired
// ones first, then cleared ones, suspects and convictions, each by age.
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

// alone reports whether all calls in flight are the same request.
func alone(inFlight []mesh.Fingerprint) bool {
	for _, f := range inFlight[1:] {
		if f != inFlight[0] {
			return false
		}
	}
	return true
}
