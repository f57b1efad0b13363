package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

var oneTenant = []catalog.Tenant{{Name: "one", Quota: catalog.Quota{RatePerSecond: 40, Burst: 80}}}

// settledSimulation returns a simulation in which three hosts hold shares of a tenant.
func settledSimulation(seed uint64) (*simulation, map[mesh.Tenant]int) {
	s := newSimulation(seed, 8, oneTenant)
	on := map[mesh.Tenant]int{"one": 3}
	s.serve(20*time.Second, 2, on)
	return s, on
}

// Guards against holders of shares that refuse requests because the coordinator was
// killed: the next one takes over before their shares expire.
func TestSharesOutlastTheCoordinator(t *testing.T) {
	is := is.New(t)
	s, on := settledSimulation(1)
	term := s.row.Term
	s.kill(s.host(s.row.Host))
	o := s.serve(40*time.Second, 2, on)["one"]
	t.Logf("%+v", *o)
	is.True(s.row.Term > term)
	is.True(o.refused <= o.ideal+o.sent/200)
}

// Guards against a host that was frozen past the validity of its share and uses it when
// it wakes up, while other hosts hold the whole limit.
func TestFrozenHostDropsItsShare(t *testing.T) {
	is := is.New(t)
	s, on := settledSimulation(2)
	frozen := s.hosts[2]
	share := frozen.node.limiter.tenants["one"].share
	is.True(share > 0)
	frozen.frozenUntil = s.now.Add(20 * time.Second)
	s.serve(20*time.Second, 3, map[mesh.Tenant]int{"one": 2})
	is.True(s.sharesInUse("one") > Whole-share/2) // the others have got it
	d := frozen.node.Admit(s.now, &s.tenants[0])
	is.True(d.Verdict != Admitted || d.Floor)
	s.serve(20*time.Second, 2, on)
	is.True(frozen.node.limiter.tenants["one"].share > 0)
	is.True(float64(s.worstWindow("one", 0)) <= DefaultBounds.Allowed(s.tenants[0].Quota))
}

// Guards against a limit that is lowered while the store is away and that holders of
// shares apply late, or that lets a window exceed the rule when shares expire and the
// store comes back.
func TestLimitIsLoweredWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	s, on := settledSimulation(3)
	s.storeUp = false
	s.step()
	s.lowerLimits(0.1) // hosts get configurations from each other
	lowered := s.now.Add(1)
	// The demand is ten times what the new limit allows.
	flood := func(d time.Duration) {
		for end := s.now.Add(d); s.now < end; {
			s.step()
			for range s.poisson(oneTenant[0].Quota.RatePerSecond * simStep.Seconds()) {
				s.request(s.hosts[2+s.random.IntN(3)], &s.tenants[0], 200*ms, false)
			}
		}
	}
	flood(25 * time.Second)
	is.Equal(s.sharesInUse("one"), Parts(0)) // all have expired
	s.storeUp = true
	flood(25 * time.Second)
	is.True(s.sharesInUse("one") > Whole*3/4)
	is.True(float64(s.worstWindow("one", lowered)) <= DefaultBounds.Allowed(s.tenants[0].Quota))
	o := s.serve(30*time.Second, 2, on)["one"] // back within the lower limit
	t.Logf("%+v", *o)
	is.True(o.refused <= o.ideal+o.sent/10)
}

// Guards against a row that names no holder, or that was removed, and that no host
// replaces.
func TestRowWithoutHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	now := simStart
	l := NewLease(now, "a", 5)
	w, due := l.Takeover(now, 0)
	is.True(due) // there has been no coordinator
	is.Equal(w, RowWrite{Row: Row{Host: "a", Incarnation: 5, Term: 1, Beat: 1}})
	l.ApplyRow(now, Row{Revision: 7, Term: 9})
	_, due = l.Takeover(now.Add(takeoverTimeout-1), 0)
	is.True(!due)
	_, due = l.Takeover(now.Add(takeoverTimeout), 1)
	is.True(!due) // another host is first
	now = now.Add(takeoverTimeout)
	w, due = l.Takeover(now, 0)
	is.True(due)
	is.Equal(w.Expect, uint64(7))
	is.Equal(w.Row.Term, uint64(10))
	l.ApplyRow(now, Row{})
	now = now.Add(takeoverTimeout)
	w, due = l.Takeover(now, 0)
	is.True(due)
	is.Equal(w.Expect, uint64(0))
	w.Row.Revision = 1
	l.ApplyRow(now.Add(100*ms), w.Row)
	term, held := l.Holds(now.Add(leaseTime - 1))
	is.True(held && term == 10)
	_, held = l.Holds(now.Add(leaseTime)) // counted from the sending of the write
	is.True(!held)
	// The next process on the same host doesn't wait.
	next := NewLease(now, "a", 6)
	next.ApplyRow(now, w.Row)
	_, due = next.Takeover(now, 0)
	is.True(due)
}

// Guards against a coordinator that takes a report of an earlier term for the state of
// its host, which may have got a share since, and against one that learns its own term
// first from another host's report and then reports none itself.
func TestReportsOfOtherTermsAreRefused(t *testing.T) {
	is := is.New(t)
	n := NewNode(simStart, "a", 5, DefaultBounds)
	n.Configure(simStart, oneTenant)
	var out Effects
	view := View{Hosts: 1, Known: func() []mesh.HostID { return []mesh.HostID{"a"} }, Candidate: func() (int, bool) { return 0, true }, Quorum: func() bool { return true }}
	n.Tick(simStart, &view, &out)
	row := out.Writes[0].Row
	row.Revision = 1
	is.Equal(n.HandleReport(simStart, &Report{Host: "b", Sequence: 1, Term: 1}, &out), Grant{})
	n.ApplyRow(simStart, row, &out)
	is.Equal(n.HandleReport(simStart, &Report{Host: "b", Sequence: 2}, &out), Grant{})
	is.Equal(n.HandleReport(simStart, &Report{Host: "b", Sequence: 3, Term: 1}, &out).Term, uint64(1))
	n.Tick(simStart.Add(time.Second), &view, &out)
	is.Equal(n.Counters().Grants, uint64(1)) // its own report
	is.Equal(n.HandleReport(simStart, &Report{Host: "b", Sequence: 4, Term: 2}, &out), Grant{})
	is.Equal(n.HeldTerm(), uint64(0)) // superseded
}

// Guards against a share that stays with a host whose requests have moved to another one.
func TestShareFollowsTheDemand(t *testing.T) {
	is := is.New(t)
	late := 0
	for seed := range uint64(10) {
		s := newSimulation(seed, 89, []catalog.Tenant{{Name: "one", Quota: catalog.Quota{RatePerSecond: 10, Burst: 10}}})
		on := map[mesh.Tenant]int{"one": 1}
		s.serve(20*time.Second, 10, on)
		s.serve(8*time.Second, 40, on)
		late += s.serve(8*time.Second, 40, on)["one"].refused
	}
	is.Equal(late, 0) // 8 s after the move
}

// Guards against a coordinator that is cut off from the other hosts, but not from the
// store, and keeps its lease while they get no shares.
func TestCutOffCoordinatorIsReplaced(t *testing.T) {
	is := is.New(t)
	s, on := settledSimulation(4)
	cut := s.host(s.row.Host)
	cut.side = 1
	s.serve(40*time.Second, 2, on)
	is.True(s.row.Host != cut.name)
	o := s.serve(30*time.Second, 2, on)["one"]
	t.Logf("%+v", *o)
	is.True(o.refused <= o.ideal+o.sent/200)
}
