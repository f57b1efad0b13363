package distribution

import (
	"bytes"
	"encoding/gob"
	"math"
	"net/rpc"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// cause is the purpose for which control bytes are sent.
type cause int

const (
	causeFrame cause = iota // net/rpc headers and the envelope's remaining fields
	causeTypes              // gob type descriptions at the start of a connection
	causeHeartbeat
	causeRecords
	causeRepair
	causeJoin
	causeStatus
	causePush
	causePull
	causeFresh
	causeItems
	causeCount
)

var causeNames = [causeCount]string{"frame", "types", "heartbeat", "records", "repair", "join",
	"status", "push", "pull", "fresh", "items"}

// rpcMethod is a stand-in for the method name that net/rpc sends with each
// request.
const rpcMethod = "Node.Deliver"

// connection measures the encoded size of values on one persistent gob
// connection.
type connection struct {
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

func newConnection() *connection {
	w := &connection{}
	w.enc, w.dec = gob.NewEncoder(&w.buf), gob.NewDecoder(&w.buf)
	return w
}

// size returns the encoded size of the values.
func (w *connection) size(values ...any) int {
	w.buf.Reset()
	for _, v := range values {
		if err := w.enc.Encode(v); err != nil {
			panic(err)
		}
	}
	return w.buf.Len()
}

// hostMeter counts the control bytes of one host and the processor time of its
// steps.
type hostMeter struct {
	sent, received [causeCount]float64
	// perSecond holds the bytes sent in each second since the phase began.
	perSecond [][causeCount]float64
	busy      time.Duration
}

// meter counts control bytes as net/rpc with gob would send them. All
// connections share one encoder that has already sent its type descriptions;
// their size is added at the first use of each connection.
type meter struct {
	start   mesh.Time
	hosts   map[mesh.HostID]*hostMeter
	conn    *connection
	headers *connection
	// typeBytes is the size of the type descriptions that a new connection
	// sends.
	typeBytes float64
	// connected holds the pairs of sender and receiver that have exchanged an
	// envelope.
	connected map[[2]mesh.HostID]bool
}

func newMeter() *meter {
	m := &meter{conn: newConnection(), headers: newConnection(), connected: map[[2]mesh.HostID]bool{}}
	fresh, request, response := newConnection(), rpc.Request{ServiceMethod: rpcMethod, Seq: 1 << 20}, rpc.Response{ServiceMethod: rpcMethod, Seq: 1 << 20}
	first := fresh.size(&simPacket{}, &request, &response)
	m.typeBytes = float64(first - fresh.size(&simPacket{}, &request, &response))
	m.headers.size(&request, &response)
	return m
}

// reset starts the counts of a new phase.
func (m *meter) reset(now mesh.Time) {
	m.start, m.hosts = now, map[mesh.HostID]*hostMeter{}
}

func (m *meter) host(id mesh.HostID) *hostMeter {
	h, ok := m.hosts[id]
	if !ok {
		h = &hostMeter{}
		m.hosts[id] = h
	}
	return h
}

// transfer encodes and decodes an envelope and counts its bytes by cause. What
// no message accounts for is counted as frame.
func (m *meter) transfer(now mesh.Time, from, to *simHost, e *simEnvelope) *simEnvelope {
	begin := time.Now()
	size := m.conn.size(e.encode())
	encoded := time.Now()
	var packet simPacket
	if err := m.conn.dec.Decode(&packet); err != nil {
		panic(err)
	}
	decoded := packet.decode()
	m.host(from.id).busy += encoded.Sub(begin)
	m.host(to.id).busy += time.Since(encoded)
	var counts [causeCount]float64
	m.countByCause(e, &counts)
	attributed := 0.0
	for _, n := range counts {
		attributed += n
	}
	frame := m.headers.size(&rpc.Request{ServiceMethod: rpcMethod, Seq: 1 << 20}, &rpc.Response{ServiceMethod: rpcMethod, Seq: 1 << 20})
	counts[causeFrame] = float64(size+frame) - attributed
	if pair := [2]mesh.HostID{from.id, to.id}; !m.connected[pair] {
		m.connected[pair] = true
		counts[causeTypes] = m.typeBytes
	}
	m.addCounts(now, from, to, &counts)
	return decoded
}

// addCounts adds the bytes of one envelope to its sender and receiver.
func (m *meter) addCounts(now mesh.Time, from, to *simHost, counts *[causeCount]float64) {
	sender, receiver := m.host(from.id), m.host(to.id)
	second := int(now.Sub(m.start) / time.Second)
	for len(sender.perSecond) <= second {
		sender.perSecond = append(sender.perSecond, [causeCount]float64{})
	}
	for c, n := range counts {
		sender.sent[c] += n
		receiver.received[c] += n
		sender.perSecond[second][c] += n
	}
}

// countMembership adds the encoded size of a membership message, without the
// byte of the list length, to a cause.
func (m *meter) countMembership(c cause, counts *[causeCount]float64, msg membership.Message) {
	counts[c] += float64(len(membership.EncodeMessages([]membership.Message{msg})) - 1)
}

// countDistribution adds the encoded size of a distribution message, without
// the byte of the list length, to a cause.
func (m *meter) countDistribution(c cause, counts *[causeCount]float64, msg Message) {
	counts[c] += float64(len(EncodeMessages([]Message{msg})) - 1)
}

// countByCause splits the messages of an envelope by cause and adds up their
// encoded sizes.
func (m *meter) countByCause(e *simEnvelope, counts *[causeCount]float64) {
	for _, msg := range e.Membership {
		if len(msg.Records) > 0 && msg.Kind != membership.KindJoin && msg.Kind != membership.KindJoinReply {
			m.countMembership(causeRecords, counts, membership.Message{Kind: membership.KindDelta, Records: msg.Records})
			msg.Records = nil
		}
		if msg.Repair != nil {
			m.countMembership(causeRepair, counts, membership.Message{Kind: membership.KindRepair, Repair: msg.Repair})
			msg.Repair = nil
		}
		switch msg.Kind {
		case membership.KindJoin, membership.KindJoinReply:
			m.countMembership(causeJoin, counts, msg)
		case membership.KindDelta, membership.KindRepair:
		default:
			m.countMembership(causeHeartbeat, counts, msg)
		}
	}
	for i := range e.Distribution {
		d := &e.Distribution[i]
		if d.Status != nil {
			m.countDistribution(causeStatus, counts, Message{Status: d.Status})
		}
		if d.Push != nil {
			m.countDistribution(causePush, counts, Message{Push: d.Push})
		}
		if d.Pull != nil {
			m.countDistribution(causePull, counts, Message{Pull: d.Pull})
		}
		if d.FreshRequest != 0 || d.FreshHead != nil {
			m.countDistribution(causeFresh, counts, Message{FreshRequest: d.FreshRequest, FreshHead: d.FreshHead})
		}
		if len(d.Items)+len(d.ItemSteps)+len(d.RequestedItems) > 0 {
			m.countDistribution(causeItems, counts, Message{Items: d.Items, ItemSteps: d.ItemSteps, RequestedItems: d.RequestedItems})
		}
	}
}

// usage summarises the traffic and processor time of a phase over all hosts.
// Rates are in bytes per second; CauseOfMax and CauseOf10s break down the
// traffic of the host with the highest rate.
type usage struct {
	SentMean     float64            `json:"sent_mean"`
	SentMax      float64            `json:"sent_max"`
	SentMax10s   float64            `json:"sent_max_10s"`
	SentMax1s    float64            `json:"sent_max_1s"`
	ReceivedMax  float64            `json:"received_max"`
	BothMax      float64            `json:"sent_and_received_max"`
	CauseOfMax   map[string]float64 `json:"cause_of_sent_max"`
	CauseOf10s   map[string]float64 `json:"cause_of_sent_max_10s"`
	CauseMean    map[string]float64 `json:"cause_mean"`
	CoreShare    float64            `json:"core_share_mean"`
	CoreShareMax float64            `json:"core_share_max"`
}

func (m *meter) usage(now mesh.Time) usage {
	seconds := now.Sub(m.start).Seconds()
	u := usage{CauseOfMax: map[string]float64{}, CauseMean: map[string]float64{}}
	count := float64(len(m.hosts))
	for _, id := range sortedKeys(m.hosts) {
		h := m.hosts[id]
		sent, received := sum(h.sent[:])/seconds, sum(h.received[:])/seconds
		share := h.busy.Seconds() / seconds
		u.SentMean += sent / count
		u.CoreShare += share / count
		u.CoreShareMax = max(u.CoreShareMax, share)
		u.ReceivedMax, u.BothMax = max(u.ReceivedMax, received), max(u.BothMax, sent+received)
		highest, _ := h.maxWindow(1)
		u.SentMax1s = max(u.SentMax1s, highest)
		if highest, by := h.maxWindow(10); highest > u.SentMax10s {
			u.SentMax10s, u.CauseOf10s = highest, by
		}
		for c, n := range h.sent {
			u.CauseMean[causeNames[c]] = round(u.CauseMean[causeNames[c]] + n/seconds/count)
		}
		if sent > u.SentMax {
			u.SentMax = sent
			for c, n := range h.sent {
				u.CauseOfMax[causeNames[c]] = round(n / seconds)
			}
		}
	}
	return u
}

// maxWindow returns the host's highest sending rate over a window of whole
// seconds, in bytes per second, and its breakdown by cause.
func (h *hostMeter) maxWindow(window int) (highest float64, by map[string]float64) {
	for end := range h.perSecond {
		total, counts := 0.0, map[string]float64{}
		for _, second := range h.perSecond[max(0, end-window+1) : end+1] {
			total += sum(second[:]) / float64(window)
			for c, n := range second {
				counts[causeNames[c]] = round(counts[causeNames[c]] + n/float64(window))
			}
		}
		if total > highest {
			highest, by = total, counts
		}
	}
	return highest, by
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func round(v float64) float64 { return math.Round(v*100) / 100 }
