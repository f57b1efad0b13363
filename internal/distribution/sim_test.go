package distribution

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	simTick         = 100 * time.Millisecond
	simLocalDelay   = 500 * time.Microsecond
	simRemoteDelay  = 10 * time.Millisecond
	simPlatformHalf = 2 * time.Millisecond
	simPlatformDown = time.Second
	simEpoch        = mesh.Time(1_000_000_000_000)
)

// simHost is one host with the reducers of its current process.
type simHost struct {
	id       mesh.HostID
	domain   mesh.FailureDomain
	addr     string
	number   int
	up       bool
	paused   bool
	process  int
	mem      *membership.Reducer
	dist     *Reducer
	mout     membership.Output
	out      Output
	backends int
	// highest is the highest version that the host applied in any process.
	highest mesh.ConfigVersion
	// stalled holds messages that arrived while the process was paused.
	stalled []simEnvelope
}

// simEvent is a call at a time.
type simEvent struct {
	at  mesh.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = simEvent{}
	*q = (*q)[:len(*q)-1]
	return last
}

// sim delivers messages between the reducers of several hosts in virtual time.
type sim struct {
	now   mesh.Time
	queue simQueue
	seq   int
	rng   *rand.Rand
	hosts []*simHost
	addrs map[string]*simHost
	ids   map[mesh.HostID]*simHost
	seeds map[mesh.FailureDomain][]string

	loss, duplicate float64
	extraDelay      time.Duration
	blocked         func(from, to *simHost) bool
	platformDown    bool
	// cutOff selects hosts that cannot reach the platform.
	cutOff  func(h *simHost) bool
	rows    map[string][]byte
	objects map[string][]byte
	head    Head
	reads   map[int64]int

	log io.Writer
	// carry passes an envelope over the wire; nil delivers it as it is.
	carry func(from, to *simHost, e *simEnvelope) *simEnvelope
	// onApplied is called for each apply.
	onApplied func(h *simHost, a Applied)
	tune      func(h *simHost)
	clockStep func(h *simHost) func()
}

func newSim(seed uint64) *sim {
	return &sim{
		now: simEpoch, rng: rand.New(rand.NewPCG(seed, 1)), addrs: map[string]*simHost{},
		ids: map[mesh.HostID]*simHost{}, seeds: map[mesh.FailureDomain][]string{},
		rows: map[string][]byte{}, objects: map[string][]byte{}, reads: map[int64]int{}, log: io.Discard,
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

// run advances virtual time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// addDomain adds hosts that are not yet started. The first four of each failure
// domain are seeds.
func (s *sim) addDomain(domain mesh.FailureDomain, count int) {
	number := len(s.seeds)
	for i := range count {
		h := &simHost{id: mesh.HostID(fmt.Sprintf("%s-%03d", domain, i+1)), domain: domain, number: i, backends: 1}
		h.addr = fmt.Sprintf("10.%d.%d.%d:7100", number, i/250, i%250+1)
		if i < 4 {
			s.seeds[domain] = append(s.seeds[domain], h.addr)
		}
		s.hosts = append(s.hosts, h)
		s.addrs[h.addr], s.ids[h.id] = h, h
	}
}

// allSeeds returns the seeds of a host: all of its own failure domain and one
// of each of the next two.
func (s *sim) allSeeds(h *simHost) []string {
	seeds := slices.Clone(s.seeds[h.domain])
	domains := sortedKeys(s.seeds)
	own, _ := slices.BinarySearch(domains, h.domain)
	for i := 1; i < min(3, len(domains)); i++ {
		others := s.seeds[domains[(own+i)%len(domains)]]
		seeds = append(seeds, others[h.number%len(others)])
	}
	return seeds
}

func (s *sim) startAll() {
	for _, h := range s.hosts {
		s.start(h)
	}
}

// start begins a new process of a host.
func (s *sim) start(h *simHost) {
	h.process++
	h.up, h.paused, h.stalled = true, false, nil
	h.mem = membership.New(membership.Settings{
		Host: h.id, Domain: h.domain, ControlAddr: h.addr, CallAddr: strings.Replace(h.addr, "7100", "7000", 1),
		Incarnation: mesh.Incarnation(s.now), Seeds: s.allSeeds(h),
	})
	h.dist = New(Settings{
		Host: h.id, Domain: h.domain, Content: lineContent{},
		ItemStep: func(v []byte) (uint64, bool) { return uint64(len(v)), len(v) > 0 },
		Merges:   map[AggregateKind]Merge{1: func(a, b []byte) []byte { return []byte{a[0] + b[0]} }},
	}, h.mem)
	if s.tune != nil {
		s.tune(h)
	}
	s.logf(h, "started")
	process := h.process
	var tick func()
	tick = func() {
		if !h.up || h.process != process {
			return
		}
		if !h.paused {
			s.tick(h)
		}
		s.after(simTick, tick)
	}
	s.after(time.Duration(s.rng.Int64N(int64(simTick))), tick)
}

func (s *sim) stop(h *simHost) {
	h.up = false
	s.logf(h, "stopped")
}

// resume ends the pause of a process. Messages that waited are handled before
// the next tick.
func (s *sim) resume(h *simHost) {
	h.paused = false
	for _, e := range h.stalled {
		s.deliver(h, &e)
	}
	h.stalled = nil
}

func (s *sim) tick(h *simHost) {
	seed := s.rng.Uint64()
	s.step(h, func() {
		for i := range h.backends {
			_ = h.mem.Announce(s.now, membership.Announcement{
				Backend: membership.Backend{
					Instance: mesh.InstanceID(fmt.Sprintf("%s-b%d", h.id, i)),
					Service:  mesh.Service(fmt.Sprintf("service-%02d", len(s.hosts)%87)), Version: "v1", Slots: 9,
				},
				Addr: "127.0.0.1:9000", Lease: 3 * time.Second,
			}, &h.mout)
		}
		h.mem.Tick(s.now, seed, &h.mout)
		h.dist.Tick(s.now, seed, &h.out)
	})
}

// step runs reducers of a host and carries out their effects.
func (s *sim) step(h *simHost, run func()) {
	done := func() {}
	if s.clockStep != nil {
		done = s.clockStep(h)
	}
	run()
	if h.out.Established {
		h.mem.SetEstablished(s.now, &h.mout)
		s.logf(h, "established floor=%s", h.dist.floor.version)
	}
	done()
	s.report(h)
	s.dispatch(h)
	for _, req := range h.out.Platform {
		s.platform(h, req)
	}
	h.mout.Reset()
	h.out.Reset()
}

func (s *sim) report(h *simHost) {
	for _, a := range h.out.Applied {
		s.logf(h, "applied %s", a.Head.Version)
		if s.onApplied != nil {
			s.onApplied(h, a)
		}
		h.highest = max(h.highest, a.Head.Version)
	}
	for _, r := range h.out.Rejected {
		s.logf(h, "rejected %s: %s", r.Version, r.Reason)
	}
	for _, c := range h.mout.Changes {
		if c.Old == nil || c.Old.State != c.New.State {
			s.logf(h, "member %s is %s", c.New.Host, c.New.State)
		}
	}
}

// publish moves the platform's head. The publisher, if any, passes it on.
func (s *sim) publish(publisher *simHost, full []byte) {
	s.head = Head{Version: s.head.Version + 1, Hash: lineContent{}.Hash(full)}
	row, _ := json.Marshal(HeadRow(s.head))
	s.rows[platform.HeadKey], s.rows[platform.HistoryKey(s.head.Version)] = row, row
	s.objects[s.head.Hash] = full
	if publisher != nil && publisher.up {
		s.logf(publisher, "published %s", s.head.Version)
		s.step(publisher, func() { publisher.dist.Published(s.now, s.head, full, &publisher.out) })
	}
}

func (s *sim) logf(h *simHost, format string, args ...any) {
	if s.log != io.Discard {
		fmt.Fprintf(s.log, "%9.4f %s %s\n", time.Duration(s.now-simEpoch).Seconds(), h.id, fmt.Sprintf(format, args...))
	}
}

// lagging returns the hosts that run but do not have the version in force.
func (s *sim) lagging(v mesh.ConfigVersion) []mesh.HostID {
	var hosts []mesh.HostID
	for _, h := range s.hosts {
		if h.up && h.dist.AppliedHead().Version != v {
			hosts = append(hosts, h.id)
		}
	}
	return hosts
}

// incomplete returns a host that runs and does not know exactly the running
// hosts as alive, or an empty name.
func (s *sim) incomplete() mesh.HostID {
	for _, h := range s.hosts {
		for _, other := range s.hosts {
			if !h.up {
				break
			}
			if m := h.mem.Member(other.id); (m != nil && m.State == membership.Alive) != other.up {
				return h.id
			}
		}
	}
	return ""
}
