package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// serviceTimeWeight is the weight of a new duration in the moving averages.
	serviceTimeWeight = 1.0 / 32
	// marginDeviations is added to the mean service time for a call that has
	// to wait. Without it, calls under overload start with just the mean time
	// left and about a third of them end too late.
	marginDeviations = 3
	// startDeviations is added to the mean service time for a call that starts
	// while others wait. In the queueing model it raised the goodput at 150%
	// load by up to 1.3 points.
	startDeviations = 2
	// lostWindow is the time for which a call that lost its connection counts
	// as in flight next to calls started later. Connections of a dying process
	// break one after the other, and calls can still be written to it until the
	// crash is recognised.
	lostWindow = time.Second
	// maxLost bounds the remembered lost calls of an instance.
	maxLost = 64
)

type callState uint8

const (
	queued callState = iota + 1
	running
	orphaned // in flight when its instance crashed, not yet reported
)

// call is the record of a call at the gate.
type call struct {
	Call
	inst     *instance
	state    callState
	arrived  mesh.Time
	late     bool   // will miss its target
	sequence uint64 // order of arrival
	started  mesh.Time
	next     *call // in the list of free records
}

type lostCall struct {
	fingerprint mesh.Fingerprint
	at          mesh.Time
}

type instance struct {
	id        mesh.InstanceID
	slots     int
	draining  bool
	down      bool // crashed or removed
	reported  bool // InstanceEmpty was reported
	queue     []*call
	running   []*call
	orphans   []*call // in state orphaned
	lost      []lostCall
	mean      time.Duration // moving average of service times
	deviation time.Duration // moving average of the distance from the mean
	// byRoute holds the moving averages of service times of each route.
	byRoute map[mesh.Route]time.Duration
}

func newInstance(id mesh.InstanceID, limits Limits) *instance {
	return &instance{id: id, mean: limits.InitialServiceTime, byRoute: make(map[mesh.Route]time.Duration)}
}

func (i *instance) load() mesh.Load {
	return mesh.Load{Slots: uint16(i.slots), InUse: uint16(len(i.running)), Queued: uint16(len(i.queue))}
}

func (i *instance) empty() bool { return len(i.queue)+len(i.running)+len(i.orphans) == 0 }

// hasFreeSlot reports whether another call may start. A call that must run
// alone takes all slots.
func (i *instance) hasFreeSlot() bool {
	alone := len(i.running) == 1 && i.running[0].Exclusive
	return !i.down && !alone && len(i.running) < i.slots
}

// expected returns the expected service time of a call.
func (i *instance) expected(c Call) time.Duration {
	if d, ok := i.byRoute[c.Route]; ok {
		return d
	}
	return i.mean
}

// canMeet reports whether a call that starts now is likely to end in time. A
// slot that other calls wait for is given only to a call that is very likely
// to.
func (i *instance) canMeet(now mesh.Time, c Call) bool {
	need := i.expected(c)
	if len(i.queue) > 1 {
		need += startDeviations * i.deviation
	}
	return c.Deadline.Sub(now) >= need
}

// canAdmit reports whether an arriving call is likely to end in time, after
// the calls that would run before it.
func (i *instance) canAdmit(now mesh.Time, rec *call) bool {
	if len(i.queue) == 0 && i.hasFreeSlot() {
		return i.canMeet(now, rec.Call)
	}
	return rec.Deadline.Sub(now) >= i.wait(rec)+i.expected(rec.Call)+marginDeviations*i.deviation
}

// wait returns the expected time until an arriving call starts.
func (i *instance) wait(rec *call) time.Duration {
	if len(i.queue) == 0 && i.hasFreeSlot() {
		return 0
	}
	return i.mean * time.Duration(i.position(rec)+1) / time.Duration(i.slots)
}

// misses reports whether a call that waits for the given time ends after its
// target.
func (i *instance) misses(now mesh.Time, c Call, wait time.Duration) bool {
	return c.Target != 0 && c.Target.Sub(now) < wait+i.expected(c)
}

// position returns the number of queued calls that run before rec.
func (i *instance) position(rec *call) int {
	n, _ := slices.BinarySearchFunc(i.queue, rec, func(q, rec *call) int {
		if before(q, rec) <= 0 {
			return -1 // equal calls keep their order of arrival
		}
		return 1
	})
	return n
}

// before orders calls that meet their target first, then by priority, highest
// first, then by target or deadline.
func before(a, b *call) int {
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.due(), b.due()))
}

// due returns the time by which a call should end.
func (c *call) due() mesh.Time {
	if c.Target != 0 && !c.late {
		return c.Target
	}
	return c.Deadline
}

// enqueue inserts a call. It returns false if the queue is full of calls that
// run before it. The queue may exceed its bound by one until the caller has
// removed the last call.
func (i *instance) enqueue(rec *call, perSlot int) bool {
	at := i.position(rec)
	if at == len(i.queue) && len(i.queue) >= i.slots*perSlot {
		return false
	}
	i.queue = slices.Insert(i.queue, at, rec)
	return true
}

func (i *instance) overfull(perSlot int) bool { return len(i.queue) > i.slots*perSlot }

func (i *instance) dequeue(rec *call) {
	at := slices.Index(i.queue, rec)
	i.queue = slices.Delete(i.queue, at, at+1)
}

func (i *instance) popLast() *call {
	rec := i.queue[len(i.queue)-1]
	i.queue = i.queue[:len(i.queue)-1]
	return rec
}

func (i *instance) start(now mesh.Time, rec *call) {
	rec.state = running
	rec.started = now
	i.running = append(i.running, rec)
}

func (i *instance) release(rec *call) {
	list := &i.running
	if rec.state == orphaned {
		list = &i.orphans
	}
	at := slices.Index(*list, rec)
	*list = slices.Delete(*list, at, at+1)
}

// observe adds the duration of a finished call to the averages.
func (i *instance) observe(route mesh.Route, d time.Duration) {
	if route != "" {
		old, ok := i.byRoute[route]
		if !ok {
			old = d
		}
		i.byRoute[route] = old + time.Duration(float64(d-old)*serviceTimeWeight)
	}
	distance := max(d-i.mean, i.mean-d)
	i.mean += time.Duration(float64(d-i.mean) * serviceTimeWeight)
	i.deviation += time.Duration(float64(distance-i.deviation) * serviceTimeWeight)
}

func (i *instance) rememberLost(now mesh.Time, f mesh.Fingerprint) {
	if len(i.lost) == maxLost {
		i.lost = slices.Delete(i.lost, 0, 1)
	}
	i.lost = append(i.lost, lostCall{f, now})
}

// appendSuspects appends the calls that a crash may be due to, of which rec is
// the first one reported.
func (i *instance) appendSuspects(rec *call, dst []mesh.Fingerprint) []mesh.Fingerprint {
	for _, r := range i.running {
		dst = append(dst, r.Fingerprint)
	}
	for _, r := range i.orphans { // may have reached the new process
		dst = append(dst, r.Fingerprint)
	}
	for _, l := range i.lost {
		if rec.started.Sub(l.at) <= lostWindow {
			dst = append(dst, l.fingerprint)
		}
	}
	return dst
}

func (i *instance) crash() {
	for _, rec := range i.running {
		rec.state = orphaned
	}
	i.orphans = append(i.orphans, i.running...)
	i.running = i.running[:0]
	i.down = true
}
