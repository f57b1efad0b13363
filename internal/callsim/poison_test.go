package callsim

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

const (
	hostCount = 3
	// Requests 1 to lastCrashingRequest crash their instance, the others up to
	// lastRequest do not.
	lastCrashingRequest = 2
	lastRequest         = 10
	// rapidRuns is the number of calls of rapid.Check. A gate that does not keep
	// the calls reported as lost fails in only about one of 700 interleavings.
	rapidRuns = 20
)

// poisonHost is a gate with one instance and the poison table of its node.
type poisonHost struct {
	gate    *admission.Gate
	table   *poison.Table
	running []poisonCall
	// unreported holds the calls of a crashed process whose end has not yet
	// been reported to the gate.
	unreported []poisonCall
	// crashedAt is zero while the process runs. For writableAfterCrash after a
	// crash, calls can still be written to the connections of the process.
	crashedAt mesh.Time
}

const writableAfterCrash = 500 * time.Millisecond

type poisonCall struct {
	id          mesh.CallID
	fingerprint mesh.Fingerprint
	suspicion   poison.Suspicion
}

// poisonModel runs callers that resend requests to random hosts.
type poisonModel struct {
	hosts        [hostCount]poisonHost
	calls        map[mesh.CallID]poisonCall
	crashHeaders map[mesh.Fingerprint]uint8 // crash count in the header of the next retry
	now          mesh.Time
	nextID       mesh.CallID
}

func newPoisonModel() *poisonModel {
	m := &poisonModel{now: mesh.Time(time.Hour), calls: map[mesh.CallID]poisonCall{},
		crashHeaders: map[mesh.Fingerprint]uint8{}}
	for i := range m.hosts {
		m.hosts[i].gate = admission.New(admission.Limits{})
		m.hosts[i].table = poison.New()
		m.announce(&m.hosts[i])
	}
	return m
}

func (m *poisonModel) announce(h *poisonHost) {
	h.crashedAt = 0
	m.apply(h, h.gate.SetInstance(m.now, admission.Instance{ID: "i", Slots: 3}, nil))
}

func (m *poisonModel) apply(h *poisonHost, effects []admission.Effect) {
	for _, e := range effects {
		if e.Action == admission.Dispatch {
			m.dispatch(h, m.calls[e.Call])
		}
	}
}

func (m *poisonModel) dispatch(h *poisonHost, c poisonCall) {
	switch {
	case h.crashedAt == 0:
		h.running = append(h.running, c)
	case m.now.Sub(h.crashedAt) <= writableAfterCrash:
		h.unreported = append(h.unreported, c)
	default:
		m.apply(h, h.gate.Done(m.now, c.id, admission.NotStarted, nil))
	}
}

func (m *poisonModel) drawHost(t *rapid.T) *poisonHost {
	return &m.hosts[rapid.IntRange(0, hostCount-1).Draw(t, "host")]
}

// sendSome sends some requests to one host. Retries by a node carry the crash
// count of the request in a header, resends by the caller do not.
func (m *poisonModel) sendSome(t *rapid.T) {
	h := m.drawHost(t)
	for range rapid.IntRange(1, 4).Draw(t, "sends") {
		f := mesh.Fingerprint(rapid.IntRange(1, lastRequest).Draw(t, "request"))
		crashHeader := uint8(0)
		if rapid.Bool().Draw(t, "retry") {
			crashHeader = m.crashHeaders[f]
		}
		m.sendOne(h, f, crashHeader)
	}
}

func (m *poisonModel) sendOne(h *poisonHost, f mesh.Fingerprint, crashHeader uint8) {
	check := h.table.Check(m.now, f, poison.Suspicion{Crashes: crashHeader})
	if check.Verdict == poison.Convicted {
		return
	}
	m.nextID++
	m.calls[m.nextID] = poisonCall{m.nextID, f, check.Suspicion}
	m.apply(h, h.gate.Arrive(m.now, admission.Call{ID: m.nextID, Instance: "i", Fingerprint: f,
		Deadline: m.now.Add(time.Hour), Exclusive: check.Verdict == poison.Suspect}, nil))
}

// finish ends a running call. An ordinary request succeeds. A crashing request
// ends the process and all its running calls.
func (m *poisonModel) finish(t *rapid.T) {
	h := m.drawHost(t)
	if len(h.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.running)-1).Draw(t, "running call")
	c := h.running[i]
	if c.fingerprint <= lastCrashingRequest {
		h.unreported = append(h.unreported, h.running...)
		h.running = nil
		h.crashedAt = m.now
		return
	}
	h.running = slices.Delete(h.running, i, i+1)
	h.table.RecordSuccess(m.now, c.fingerprint, c.suspicion)
	m.crashHeaders[c.fingerprint] = 0
	m.apply(h, h.gate.Done(m.now, c.id, admission.Finished, nil))
}

// reportSome reports the end of some calls of a crashed process to the gate.
func (m *poisonModel) reportSome(t *rapid.T) {
	h := m.drawHost(t)
	for len(h.unreported) > 0 && rapid.IntRange(0, 4).Draw(t, "more reports") > 0 {
		i := rapid.IntRange(0, len(h.unreported)-1).Draw(t, "unreported call")
		c := h.unreported[i]
		h.unreported = slices.Delete(h.unreported, i, i+1)
		m.reportOne(t, h, c)
	}
}

// reportOne reports a call either as a lost connection or as a crash.
func (m *poisonModel) reportOne(t *rapid.T, h *poisonHost, c poisonCall) {
	if rapid.Bool().Draw(t, "only a lost connection") {
		m.apply(h, h.gate.Done(m.now, c.id, admission.Lost, nil))
		return
	}
	inFlight, effects := h.gate.Crashed(m.now, c.id, nil, nil)
	h.table.RecordCrash(m.now, inFlight, c.suspicion)
	m.crashHeaders[c.fingerprint] = poison.CountAfterCrash(m.crashHeaders[c.fingerprint])
	m.apply(h, effects)
}

func (m *poisonModel) restart(t *rapid.T) { m.announce(m.drawHost(t)) }

func (m *poisonModel) merge(t *rapid.T) {
	from := m.drawHost(t)
	m.drawHost(t).table.Merge(m.now, from.table.AppendEntries(m.now, nil))
}

func (m *poisonModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
}

func (m *poisonModel) check(t *rapid.T) {
	for i := range m.hosts {
		for _, e := range m.hosts[i].table.AppendEntries(m.now, nil) {
			if e.Fingerprint > lastCrashingRequest && e.Crashes >= poison.ConvictionCrashes {
				t.Fatalf("ordinary request %d is convicted on host %d", e.Fingerprint, i)
			}
		}
	}
}

// Guards against the conviction of an ordinary request that runs in the same
// process as a crashing one, in any order of sends, reports, restarts and merges
// of the poison tables. Reports of lost connections may arrive before the report
// of the crash.
func TestOrdinaryRequestsAreNeverConvicted(t *testing.T) {
	for range rapidRuns {
		rapid.Check(t, func(t *rapid.T) {
			m := newPoisonModel()
			t.Repeat(map[string]func(*rapid.T){
				"send": m.sendSome, "send again": m.sendSome, "finish": m.finish, "report": m.reportSome,
				"restart": m.restart, "merge": m.merge, "wait": m.wait, "": m.check,
			})
		})
	}
}

// Guards against a crashing request that is not convicted when its caller
// resends it: it must crash no more than two instances.
func TestCrashingRequestIsConvicted(t *testing.T) {
	is := is.New(t)
	m := newPoisonModel()
	h := &m.hosts[0]
	crashes := 0
	for range 5 {
		check := h.table.Check(m.now, 1, poison.Suspicion{})
		if check.Verdict == poison.Convicted {
			break
		}
		for f := mesh.Fingerprint(1); f <= 3; f++ {
			m.nextID++
			m.calls[m.nextID] = poisonCall{m.nextID, f, poison.Suspicion{}}
			c := h.table.Check(m.now, f, poison.Suspicion{})
			m.apply(h, h.gate.Arrive(m.now, admission.Call{ID: m.nextID, Instance: "i", Fingerprint: f,
				Deadline: m.now.Add(time.Hour), Exclusive: c.Verdict == poison.Suspect}, nil))
		}
		inFlight, _ := h.gate.Crashed(m.now, h.running[0].id, nil, nil)
		h.table.RecordCrash(m.now, inFlight, poison.Suspicion{})
		crashes++
		for _, c := range h.running[1:] {
			h.gate.Done(m.now, c.id, admission.Lost, nil)
		}
		h.running = nil
		m.now = m.now.Add(5 * time.Second)
		m.announce(h)
	}
	is.Equal(crashes, 2)
	is.Equal(h.table.Check(m.now, 2, poison.Suspicion{}).Verdict, poison.Suspect)
}
