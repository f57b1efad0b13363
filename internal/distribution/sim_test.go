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
	// simPlatformOneWay is the delay in each direction between a host and the
	// platform. After simPlatformTimeout a request to an unreachable platform
	// ends without a result.
	simTick            = 100 * time.Millisecond
	simLocalDelay      = 500 * time.Microsecond
	simRemoteDelay     = 10 * time.Millisecond
	simPlatformOneWay  = 2 * time.Millisecond
	simPlatformTimeout = time.Second
	simEpoch           = mesh.Time(1_000_000_000_000)
)

// simHost is a simulated host with the reducers of its current process.
type simHost struct {
	id     mesh.HostID
	domain mesh.FailureDomain
	addr   string
	index  int
	up     bool
	paused bool
	// process is the number of the current process, counted from 1.
	process   int
	members   *membership.Reducer
	dist      *Reducer
	memberOut membership.Output
	distOut   Output
	backends  int
	// highest is the highest version that the host applied in any process.
	highest mesh.ConfigVersion
	// undelivered holds messages that arrived while the process was paused.
	undelivered []simEnvelope
}

// simEvent is a function to run at a virtual time. seq orders events of the
// same time.
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

// sim runs the reducers of several hosts in virtual time and delivers their
// messages.
type sim struct {
	now   mesh.Time
	queue simQueue
	seq   int
	rng   *rand.Rand
	hosts []*simHost
	addrs map[string]*simHost
	ids   map[mesh.HostID]*simHost
	seeds map[mesh.FailureDomain][]string

	// loss and duplicate are the probabilities that an envelope is lost or
	// delivered twice. Each copy is delayed by a random time up to extraDelay.
	loss, duplicate float64
	extraDelay      time.Duration
	// blocked selects pairs of hosts between which no envelope is delivered.
	blocked      func(from, to *simHost) bool
	platformDown bool
	// noPlatform selects hosts that cannot reach the platform.
	noPlatform func(h *simHost) bool
	rows       map[string][]byte
	objects    map[string][]byte
	head       Head
	// readsPerSecond counts the platform requests in each second of virtual
	// time.
	readsPerSecond map[int64]int

	log io.Writer
	// transfer encodes and decodes an envelope; if nil, the envelope is
	// encoded and decoded without measuring it.
	transfer func(from, to *simHost, e *simEnvelope) *simEnvelope
	// onApplied is called for each apply.
	onApplied func(h *simHost, a Applied)
	// configureNode changes a new process before its first step. measureStep
	// is called before each step and returns a function to call after it.
	configureNode func(h *simHost)
	measureStep   func(h *simHost) func()
}

func newSim(seed uint64) *sim {
	return &sim{
		now: simEpoch, rng: rand.New(rand.NewPCG(seed, 1)), addrs: map[string]*simHost{},
		ids: map[mesh.HostID]*simHost{}, seeds: map[mesh.FailureDomain][]string{},
		rows: map[string][]byte{}, objects: map[string][]byte{}, readsPerSecond: map[int64]int{}, log: io.Discard,
	}
}

// schedule runs a function after d of virtual time.
func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

// run processes the events of the next d of virtual time.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// addDomain adds a failure domain with hosts that are not started. Its first
// four hosts are seeds.
func (s *sim) addDomain(domain mesh.FailureDomain, count int) {
	domainIndex := len(s.seeds)
	for i := range count {
		h := &simHost{id: mesh.HostID(fmt.Sprintf("%s-%03d", domain, i+1)), domain: domain, index: i, backends: 1}
		h.addr = fmt.Sprintf("10.%d.%d.%d:7100", domainIndex, i/250, i%250+1)
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
	ownIndex, _ := slices.BinarySearch(domains, h.domain)
	for i := 1; i < min(3, len(domains)); i++ {
		otherSeeds := s.seeds[domains[(ownIndex+i)%len(domains)]]
		seeds = append(seeds, otherSeeds[h.index%len(otherSeeds)])
	}
	return seeds
}

func (s *sim) startAll() {
	for _, h := range s.hosts {
		s.start(h)
	}
}

// start starts a new process on a host.
func (s *sim) start(h *simHost) {
	h.process++
	h.up, h.paused, h.undelivered = true, false, nil
	h.members = membership.New(membership.Settings{
		Host: h.id, Domain: h.domain, ControlAddr: h.addr, CallAddr: strings.Replace(h.addr, "7100", "7000", 1),
		Incarnation: mesh.Incarnation(s.now), Seeds: s.allSeeds(h),
	})
	h.dist = New(Settings{
		Host: h.id, Domain: h.domain, Content: lineContent{},
		ItemStep: func(v []byte) (uint64, bool) { return uint64(len(v)), len(v) > 0 },
		Merges:   map[AggregateKind]Merge{1: func(a, b []byte) []byte { return []byte{a[0] + b[0]} }},
	}, h.members)
	if s.configureNode != nil {
		s.configureNode(h)
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
		s.schedule(simTick, tick)
	}
	s.schedule(time.Duration(s.rng.Int64N(int64(simTick))), tick)
}

func (s *sim) stop(h *simHost) {
	h.up = false
	s.logf(h, "stopped")
}

// resume ends the pause of a process. Messages that arrived in the meantime
// are handled before the next tick.
func (s *sim) resume(h *simHost) {
	h.paused = false
	for _, e := range h.undelivered {
		s.deliver(h, &e)
	}
	h.undelivered = nil
}

func (s *sim) tick(h *simHost) {
	seed := s.rng.Uint64()
	s.step(h, func() {
		for i := range h.backends {
			_ = h.members.Announce(s.now, membership.Announcement{
				Backend: membership.Backend{
					Instance: mesh.InstanceID(fmt.Sprintf("%s-b%d", h.id, i)),
					Service:  mesh.Service(fmt.Sprintf("service-%02d", len(s.hosts)%87)), Version: "v1", Slots: 9,
				},
				Addr: "127.0.0.1:9000", Lease: 3 * time.Second,
			}, &h.memberOut)
		}
		h.members.Tick(s.now, seed, &h.memberOut)
		h.dist.Tick(s.now, seed, &h.distOut)
	})
}

// step runs reducers of a host and executes their effects.
func (s *sim) step(h *simHost, run func()) {
	stopMeasuring := func() {}
	if s.measureStep != nil {
		stopMeasuring = s.measureStep(h)
	}
	run()
	if h.distOut.Established {
		h.members.SetEstablished(s.now, &h.memberOut)
		s.logf(h, "established floor=%s", h.dist.floor.version)
	}
	stopMeasuring()
	s.reportEffects(h)
	s.dispatch(h)
	for _, req := range h.distOut.Platform {
		s.handlePlatformRequest(h, req)
	}
	h.memberOut.Reset()
	h.distOut.Reset()
}

// reportEffects logs the applies, rejections and membership changes of a step.
func (s *sim) reportEffects(h *simHost) {
	for _, a := range h.distOut.Applied {
		s.logf(h, "applied %s", a.Head.Version)
		if s.onApplied != nil {
			s.onApplied(h, a)
		}
		h.highest = max(h.highest, a.Head.Version)
	}
	for _, r := range h.distOut.Rejected {
		s.logf(h, "rejected %s: %s", r.Version, r.Reason)
	}
	for _, c := range h.memberOut.Changes {
		if c.Old == nil || c.Old.State != c.New.State {
			s.logf(h, "member %s is %s", c.New.Host, c.New.State)
		}
	}
}

// publish makes content the platform's head. If there is a publisher that is
// running, it distributes the version; otherwise only the platform has it.
func (s *sim) publish(publisher *simHost, full []byte) {
	s.head = Head{Version: s.head.Version + 1, Hash: lineContent{}.Hash(full)}
	row, _ := json.Marshal(HeadRow(s.head))
	s.rows[platform.HeadKey], s.rows[platform.HistoryKey(s.head.Version)] = row, row
	s.objects[s.head.Hash] = full
	if publisher != nil && publisher.up {
		s.logf(publisher, "published %s", s.head.Version)
		s.step(publisher, func() { publisher.dist.Published(s.now, s.head, full, &publisher.distOut) })
	}
}

func (s *sim) logf(h *simHost, format string, args ...any) {
	if s.log != io.Discard {
		fmt.Fprintf(s.log, "%9.4f %s %s\n", time.Duration(s.now-simEpoch).Seconds(), h.id, fmt.Sprintf(format, args...))
	}
}

// lagging returns the running hosts on which version v is not in force.
func (s *sim) lagging(v mesh.ConfigVersion) []mesh.HostID {
	var hosts []mesh.HostID
	for _, h := range s.hosts {
		if h.up && h.dist.AppliedHead().Version != v {
			hosts = append(hosts, h.id)
		}
	}
	return hosts
}

// hostWithWrongMembers returns a running host whose live members are not
// exactly the running hosts, or an empty ID if there is none.
func (s *sim) hostWithWrongMembers() mesh.HostID {
	for _, h := range s.hosts {
		for _, other := range s.hosts {
			if !h.up {
				break
			}
			if m := h.members.Member(other.id); (m != nil && m.State == membership.Alive) != other.up {
				return h.id
			}
		}
	}
	return ""
}
