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
	is.True(!table.RecordCrash(start, fingerprints(1, 2, 3), 0))
	is.Equal(table.Check(start, 1, 0), Check{Suspect, 1})
	is.True(table.RecordCrash(start, fingerprints(1, 1), 0)) // two sends of the same request
	is.Equal(table.Check(start, 1, 0), Check{Convicted, 2})
	is.Equal(table.Check(start, 2, 0), Check{Suspect, 1})
}

// Guards against the conviction of a request that was merely near two crashes.
func TestCrashInCompanyNeverConvicts(t *testing.T) {
	is := is.New(t)
	table := New()
	for i := range mesh.Fingerprint(5) {
		is.True(!table.RecordCrash(start, fingerprints(9, 100+i), 1))
	}
	is.Equal(table.Check(start, 9, 0), Check{Suspect, 1})
}

// Guards against a crash count that is lost when a call moves to a node whose
// table does not know the request.
func TestHeaderCountHolds(t *testing.T) {
	is := is.New(t)
	table := New()
	is.Equal(table.Check(start, 1, 1), Check{Suspect, 1})
	is.Equal(table.Check(start, 1, 200), Check{Convicted, 2})
	is.True(table.RecordCrash(start, fingerprints(1), 1))
}

// Guards against ordinary requests that stay suspects, and against a success
// that lifts a conviction.
func TestSuccessClearsSuspects(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(start, fingerprints(1, 2), 0)
	old := table.AppendEntries(start, nil)
	table.RecordSuccess(start.Add(time.Second), 2)
	is.Equal(table.Check(start, 2, 0), Check{})
	is.True(!table.Merge(start.Add(time.Second), old)) // an older record does not restore it
	is.Equal(table.Check(start, 2, 0), Check{})
	table.RecordCrash(start, fingerprints(1), 0)
	table.RecordSuccess(start, 1)
	is.Equal(table.Check(start, 1, 0).Verdict, Convicted)
}

// Guards against entries that outlive their time or return from a peer.
func TestEntriesExpire(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(start, fingerprints(1), 1)
	old := table.AppendEntries(start, nil)
	end := start.Add(Lifetime)
	is.Equal(table.Check(end.Add(-1), 1, 0).Verdict, Convicted)
	is.Equal(table.Check(end, 1, 0).Verdict, Clean)
	version := table.Version()
	table.Expire(end)
	is.True(table.Version() != version)
	is.Equal(len(table.AppendEntries(end, nil)), 0)
	is.True(!table.Merge(end, old))
}

// Guards against a conviction that is lost in a merge, whatever its order, and
// against a peer's clock that keeps an entry longer than its lifetime.
func TestMergeKeepsConvictions(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.RecordCrash(start, fingerprints(1), 1)
	b.RecordCrash(start.Add(time.Minute), fingerprints(1, 2), 0)
	fromA, fromB := a.AppendEntries(start, nil), b.AppendEntries(start, nil)
	now := start.Add(time.Minute)
	is.True(a.Merge(now, fromB))
	is.True(b.Merge(now, fromA))
	is.Equal(a.Check(now, 1, 0).Verdict, Convicted)
	is.Equal(b.Check(now, 1, 0).Verdict, Convicted)
	is.Equal(a.AppendEntries(now, nil), b.AppendEntries(now, nil))

	c := New()
	c.Merge(start, []Entry{{Fingerprint: 7, Crashes: 9, At: start.Add(time.Hour)}})
	is.Equal(c.AppendEntries(start, nil), []Entry{{7, ConvictionCrashes, start}})
}

// Guards against unbounded growth, and against a flood of suspects that pushes
// out convictions.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(start, fingerprints(1), 1)
	for i := range mesh.Fingerprint(10 * MaxEntries) {
		table.RecordCrash(start.Add(time.Duration(i)), fingerprints(1000+2*i, 1001+2*i), 0)
	}
	is.Equal(len(table.AppendEntries(start, nil)), MaxEntries)
	is.Equal(table.Check(start, 1, 0).Verdict, Convicted)
	newest := mesh.Fingerprint(1000 + 2*10*MaxEntries - 1)
	is.Equal(table.Check(start, newest, 0).Verdict, Suspect)
}

// Guards against garbage on the call path.
func TestCallsAllocateNothing(t *testing.T) {
	is := is.New(t)
	table := New()
	crowd := make([]mesh.Fingerprint, MaxEntries)
	for i := range crowd {
		crowd[i] = mesh.Fingerprint(i)
	}
	is.Equal(testing.AllocsPerRun(1000, func() {
		table.RecordCrash(start, crowd, 0)
		table.Check(start, 12345, 0)
		table.RecordSuccess(start, 5)
	}), 0.0)
}
