package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const start = mesh.Time(time.Hour)

func fingerprints(f ...mesh.Fingerprint) []mesh.Fingerprint { return f }

// Guards against a crashing request that is never blocked, or is blocked only
// after more than two instances.
func TestSecondCrashAloneConvicts(t *testing.T) {
	is := is.New(t)
	table := New()
	is.True(!table.RecordCrash(start, fingerprints(1, 2, 3), Suspicion{}))
	is.Equal(table.Check(start, 1, Suspicion{}), Check{Suspect, Suspicion{Crashes: 1}})
	is.True(table.RecordCrash(start, fingerprints(1, 1), Suspicion{})) // two sends of the same request
	is.Equal(table.Check(start, 1, Suspicion{}), Check{Convicted, Suspicion{Crashes: 2}})
	is.Equal(table.Check(start, 2, Suspicion{}), Check{Suspect, Suspicion{Crashes: 1}})
}

// Guards against the conviction of a request that was merely in flight together with
// others when instances crashed.
func TestCrashWithOthersInFlightNeverConvicts(t *testing.T) {
	is := is.New(t)
	table := New()
	for i := range mesh.Fingerprint(5) {
		is.True(!table.RecordCrash(start, fingerprints(9, 100+i), Suspicion{Crashes: 1}))
	}
	is.Equal(table.Check(start, 9, Suspicion{}), Check{Suspect, Suspicion{Crashes: 1}})
}

// Guards against a crash count that is lost when a call moves to a node whose
// table does not know the request.
func TestCrashCountOfHeaderIsUsed(t *testing.T) {
	is := is.New(t)
	table := New()
	is.Equal(table.Check(start, 1, Suspicion{Crashes: 1}), Check{Suspect, Suspicion{Crashes: 1}})
	is.Equal(table.Check(start, 1, Suspicion{Crashes: 200}), Check{Convicted, Suspicion{Crashes: 2}})
	is.True(table.RecordCrash(start, fingerprints(1), Suspicion{Crashes: 1}))
}

// Guards against ordinary requests that stay suspects, and against a conviction that is
// lifted by a run that began before the crashes.
func TestSuccessClearsSuspects(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(start, fingerprints(1, 2), Suspicion{})
	old := table.AppendEntries(start, nil)
	table.RecordSuccess(start.Add(time.Second), 2, Suspicion{Crashes: 1})
	is.Equal(table.Check(start, 2, Suspicion{}), Check{Clean, Suspicion{Cleared: 1}})
	is.True(!table.Merge(start.Add(time.Second), old)) // an older entry does not restore the suspicion
	is.Equal(table.Check(start, 2, Suspicion{}), Check{Clean, Suspicion{Cleared: 1}})
	table.RecordCrash(start, fingerprints(1), Suspicion{})
	table.RecordSuccess(start, 1, Suspicion{})
	is.Equal(table.Check(start, 1, Suspicion{}).Verdict, Convicted)
}

// Guards against a request that is convicted although it has succeeded between two
// crashes: entry nodes that haven't heard of the success still send the old suspicion.
func TestStaleSuspicionAfterSuccessDoesNotConvict(t *testing.T) {
	is := is.New(t)
	table, stale := New(), Suspicion{Crashes: 1}
	table.RecordSuccess(start, 1, stale) // the table didn't know of the crash itself
	is.Equal(table.Check(start, 1, stale).Verdict, Clean)
	is.True(!table.RecordCrash(start, fingerprints(1), stale))
	is.Equal(table.Check(start, 1, stale), Check{Suspect, Suspicion{Crashes: 1, Cleared: 1}})
	table.Merge(start.Add(time.Second), []Entry{{Fingerprint: 1, Crashes: 1, At: start.Add(time.Second)}}) // heard late
	is.Equal(table.Check(start, 1, stale), Check{Suspect, Suspicion{Crashes: 1, Cleared: 1}})
	is.True(table.RecordCrash(start, fingerprints(1), stale)) // no success since the last crash
}

// Guards against a conviction that outlasts the proof of the opposite: while one instance
// crashes with the suspect alone in it, the suspect succeeds in another one.
func TestSuccessAfterTheFirstCrashLiftsTheConviction(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	known := Suspicion{Crashes: 1}
	is.True(a.RecordCrash(start, fingerprints(1), known))
	b.RecordSuccess(start.Add(-time.Second), 1, known) // by a clock that is behind
	is.True(a.Merge(start, b.AppendEntries(start, nil)))
	is.True(!b.Merge(start, []Entry{{Fingerprint: 1, Crashes: ConvictionCrashes, At: start}}))
	is.Equal(a.Check(start, 1, known).Verdict, Clean)
	is.Equal(b.Check(start, 1, known).Verdict, Clean)
}

// Guards against entries that outlive their lifetime, or that a peer brings back after
// they have expired.
func TestEntriesExpire(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(start, fingerprints(1), Suspicion{Crashes: 1})
	old := table.AppendEntries(start, nil)
	end := start.Add(Lifetime)
	is.Equal(table.Check(end.Add(-1), 1, Suspicion{}).Verdict, Convicted)
	is.Equal(table.Check(end, 1, Suspicion{}).Verdict, Clean)
	version := table.Version()
	table.Expire(end)
	is.True(table.Version() != version)
	is.Equal(len(table.AppendEntries(end, nil)), 0)
	is.True(!table.Merge(end, old))
}

// Guards against a conviction that is lost in a merge, whichever side merges first,
// and against an entry that outlives its lifetime because a peer's clock runs ahead.
func TestMergeKeepsConvictions(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.RecordCrash(start, fingerprints(1), Suspicion{Crashes: 1})
	b.RecordCrash(start.Add(time.Minute), fingerprints(1, 2), Suspicion{})
	fromA, fromB := a.AppendEntries(start, nil), b.AppendEntries(start, nil)
	now := start.Add(time.Minute)
	is.True(a.Merge(now, fromB))
	is.True(b.Merge(now, fromA))
	is.Equal(a.Check(now, 1, Suspicion{}).Verdict, Convicted)
	is.Equal(b.Check(now, 1, Suspicion{}).Verdict, Convicted)
	is.Equal(a.AppendEntries(now, nil), b.AppendEntries(now, nil))

	c := New()
	c.Merge(start, []Entry{{Fingerprint: 7, Crashes: 9, At: start.Add(time.Hour)}})
	is.Equal(c.AppendEntries(start, nil), []Entry{{Fingerprint: 7, Crashes: ConvictionCrashes, At: start}})
}

// Guards against unbounded growth, and against many suspects that evict
// convictions.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(start, fingerprints(1), Suspicion{Crashes: 1})
	for i := range mesh.Fingerprint(10 * MaxEntries) {
		table.RecordCrash(start.Add(time.Duration(i)), fingerprints(1000+2*i, 1001+2*i), Suspicion{})
	}
	is.Equal(len(table.AppendEntries(start, nil)), MaxEntries)
	is.Equal(table.Check(start, 1, Suspicion{}).Verdict, Convicted)
	newest := mesh.Fingerprint(1000 + 2*10*MaxEntries - 1)
	is.Equal(table.Check(start, newest, Suspicion{}).Verdict, Suspect)
}

// Guards against memory allocation for each call, which would be work for the garbage
// collector.
func TestTableUpdatesDoNotAllocate(t *testing.T) {
	is := is.New(t)
	table := New()
	inFlight := make([]mesh.Fingerprint, MaxEntries)
	for i := range inFlight {
		inFlight[i] = mesh.Fingerprint(i)
	}
	is.Equal(testing.AllocsPerRun(1000, func() {
		table.RecordCrash(start, inFlight, Suspicion{})
		table.Check(start, 12345, Suspicion{})
		table.RecordSuccess(start, 5, Suspicion{Crashes: 1})
	}), 0.0)
}
