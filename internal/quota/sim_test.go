package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	ms       = time.Millisecond
	simStep  = 25 * ms
	simStart = mesh.Time(1_000_000 * time.Second)
)

// simulation runs the nodes of some hosts in virtual time, with a store, links that may
// be cut, and processes that are killed, frozen and restarted.
type simulation struct {
	holders int // hosts that are expected to hold shares; all by default
	now     mesh.Time
	random  *rand.Rand
	hosts   []*simHost
	names   []mesh.HostID
	tenants []catalog.Tenant
	row     Row // in the store
	storeUp bool
	// loss is the probability that a message is lost, delay the longest time for which one
	// is on its way.
	loss  float64
	delay time.Duration
	queue []simMessage
	// admitted holds the requests of each tenant that were not returned.
	admitted map[mesh.Tenant][]*simRequest
	refused  map[mesh.Tenant]int
	noShare  map[mesh.Tenant]int
	reports  int
}

type simHost struct {
	name        mesh.HostID
	index       int
	node        *Node // nil while the process is dead
	incarnation mesh.Incarnation
	frozenUntil mesh.Time
	cutUntil    mesh.Time // from the other hosts and the store
	storeCut    mesh.Time // from the store only
	side        int       // hosts on different sides don't reach each other
	effects     Effects
	pending     []*simRequest
}

// simMessage is a message on its way. It is lost if its receiver has been restarted.
type simMessage struct {
	at          mesh.Time
	to          *simHost
	incarnation mesh.Incarnation
	apply       func()
}

type simRequest struct {
	at       mesh.Time
	charge   Charge
	endsAt   mesh.Time
	returned bool
}

func newSimulation(seed uint64, hosts int, tenants []catalog.Tenant) *simulation {
	s := &simulation{now: simStart, random: rand.New(rand.NewPCG(seed, 1)), tenants: tenants, storeUp: true, delay: 2 * ms,
		admitted: make(map[mesh.Tenant][]*simRequest), refused: make(map[mesh.Tenant]int), noShare: make(map[mesh.Tenant]int)}
	for i := range hosts {
		h := &simHost{name: mesh.HostID(fmt.Sprintf("h%02d", i)), index: i}
		s.hosts, s.names = append(s.hosts, h), append(s.names, h.name)
		s.start(h)
	}
	return s
}

func (s *simulation) start(h *simHost) {
	h.incarnation = mesh.Incarnation(s.now) + mesh.Incarnation(h.index)
	h.node, h.pending = NewNode(s.now, h.name, h.incarnation, DefaultBounds), nil
	h.node.Configure(s.now, s.tenants)
}

func (s *simulation) kill(h *simHost) { h.node = nil }

func (h *simHost) running(now mesh.Time) bool { return h.node != nil && now >= h.frozenUntil }

func (s *simulation) reachesStore(h *simHost) bool {
	return s.storeUp && s.now >= h.cutUntil && s.now >= h.storeCut
}

func (s *simulation) connected(a, b *simHost) bool {
	return a == b || a.side == b.side && s.now >= a.cutUntil && s.now >= b.cutUntil
}

// reached returns the hosts that a host reaches.
func (s *simulation) reached(h *simHost) []*simHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(other *simHost) bool { return !s.connected(h, other) })
}

// send delivers a message to a process after a random delay, unless it is lost.
func (s *simulation) send(to *simHost, incarnation mesh.Incarnation, apply func()) {
	if s.random.Float64() < s.loss {
		return
	}
	at := s.now.Add(ms + time.Duration(s.random.Int64N(int64(s.delay))))
	s.queue = append(s.queue, simMessage{at, to, incarnation, apply})
}

func (s *simulation) host(name mesh.HostID) *simHost {
	return s.hosts[slices.Index(s.names, name)]
}

// step advances the time by simStep.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	due := s.queue
	s.queue = nil
	slices.SortStableFunc(due, func(a, b simMessage) int { return int(a.at - b.at) })
	for _, m := range due {
		switch {
		case m.at > s.now || m.to.node != nil && s.now < m.to.frozenUntil:
			s.queue = append(s.queue, m)
		case m.to.node != nil && m.to.incarnation == m.incarnation:
			m.apply()
		}
	}
	for _, h := range s.hosts {
		if h.running(s.now) {
			s.endRequests(h)
			s.tick(h)
		}
	}
}

func (s *simulation) tick(h *simHost) {
	n := h.node
	h.effects.Reset()
	if s.reachesStore(h) && int64(s.now/mesh.Time(simStep))%8 == int64(h.index%8) {
		n.ApplyRow(s.now, s.row, &h.effects)
	}
	n.Tick(s.now, &View{
		Hosts: len(s.hosts), Known: func() []mesh.HostID { return s.names }, Holders: cmp.Or(s.holders, len(s.hosts)),
		Candidate: func() (int, bool) { return h.index, s.reachesStore(h) },
		Quorum:    func() bool { return 2*len(s.reached(h)) >= len(s.hosts) },
	}, &h.effects)
	for _, w := range h.effects.Writes {
		s.write(h, w)
	}
	for _, r := range h.effects.Reports {
		s.report(h, r)
	}
}

// write sends a conditional write to the store. Its answer may be lost or late.
func (s *simulation) write(h *simHost, w RowWrite) {
	if !s.reachesStore(h) || s.random.Float64() < s.loss {
		return
	}
	if s.row.Revision == w.Expect {
		s.row = w.Row
		s.row.Revision = w.Expect + 1
	}
	row, incarnation := s.row, h.incarnation
	s.send(h, incarnation, func() { h.node.ApplyRow(s.now, row, &h.effects) })
}

func (s *simulation) report(h *simHost, r AddressedReport) {
	to := s.host(r.To)
	if !s.connected(h, to) || to.node == nil {
		return
	}
	incarnation := h.incarnation
	s.send(to, to.incarnation, func() {
		s.reports++
		g := to.node.HandleReport(s.now, &r.Report, &to.effects)
		if s.connected(h, to) {
			s.send(h, incarnation, func() { h.node.ApplyGrant(s.now, &g) })
		}
	})
}

// request sends one request of a tenant to a host. It waits for a share like the requests
// of package proxy: it is sent again for up to 250 ms.
func (s *simulation) request(h *simHost, tenant *catalog.Tenant, ends time.Duration, returned bool) {
	if h.running(s.now) {
		s.decided(h, tenant, h.node.Admit(s.now, tenant), s.now, ends, returned)
	}
}

func (s *simulation) decided(h *simHost, tenant *catalog.Tenant, d Decision, sentAt mesh.Time, ends time.Duration, returned bool) {
	switch d.Verdict {
	case Admitted:
		r := &simRequest{at: s.now, charge: ChargeOf(tenant.Name, d), endsAt: s.now.Add(ends), returned: returned}
		h.pending = append(h.pending, r)
		s.admitted[tenant.Name] = append(s.admitted[tenant.Name], r)
	case Refused:
		wait := max(d.RetryAfter, simStep)
		if s.now.Sub(sentAt)+wait >= MaxWait {
			s.refused[tenant.Name]++
			return
		}
		s.readmit(h, tenant, wait, sentAt, ends, returned)
	case Pending:
		if s.now.Sub(sentAt) >= MaxWait {
			s.noShare[tenant.Name]++
			return
		}
		s.readmit(h, tenant, simStep, sentAt, ends, returned)
	}
}

// readmit lets a request wait, as nodes do.
func (s *simulation) readmit(h *simHost, tenant *catalog.Tenant, wait time.Duration, sentAt mesh.Time, ends time.Duration, returned bool) {
	s.queue = append(s.queue, simMessage{s.now.Add(wait), h, h.incarnation, func() {
		s.decided(h, tenant, h.node.Readmit(s.now, tenant), sentAt, ends, returned)
	}})
}

// endRequests ends the requests whose time has come. Returned ones have not run.
func (s *simulation) endRequests(h *simHost) {
	h.pending = slices.DeleteFunc(h.pending, func(r *simRequest) bool {
		if s.now < r.endsAt {
			return false
		}
		h.node.End(s.now, r.charge, !r.returned)
		return true
	})
}

// sharesInUse returns the sum of the shares of a tenant that hosts may use now. A frozen
// host uses its share if it wakes up now.
func (s *simulation) sharesInUse(tenant mesh.Tenant) (sum Parts) {
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if t := h.node.limiter.tenants[tenant]; t != nil && s.now < t.validUntil {
			sum += t.share
		}
	}
	return sum
}

// worstWindow returns the largest number of requests of a tenant in any window that
// begins at or after the given time. Requests that were returned don't count.
func (s *simulation) worstWindow(tenant mesh.Tenant, from mesh.Time) int {
	var times []mesh.Time
	for _, r := range s.admitted[tenant] {
		if r.at >= from && (!r.returned || r.endsAt > s.now) {
			times = append(times, r.at)
		}
	}
	slices.Sort(times)
	worst, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > DefaultBounds.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}
