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

// cause names what control bytes are sent for.
type cause int

const (
	causeFrame cause = iota // net/rpc headers and the envelope
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
	causes
)

var causeNames = [causes]string{"frame", "types", "heartbeat", "records", "repair", "join",
	"status", "push", "pull", "fresh", "items"}

// rpcMethod stands for the method name that net/rpc sends with each request.
const rpcMethod = "Node.Deliver"

// connection encodes values on one persistent gob connection.
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

// hostMeter counts the bytes of one host.
type hostMeter struct {
	sent, received [causes]float64
	// perSecond holds the bytes sent in each second of the phase.
	perSecond [][causes]float64
	busy      time.Duration
}

// meter counts control bytes as net/rpc with gob produces them. All
// connections share one warm encoder; the type descriptions that a connection
// starts with are added at its first use.
type meter struct {
	start  mesh.Time
	hosts  map[mesh.HostID]*hostMeter
	conn   *connection
	frames *connection
	// typeBytes is the size of the type descriptions of a connection.
	typeBytes float64
	seen      map[[2]mesh.HostID]bool
}

func newMeter() *meter {
	m := &meter{conn: newConnection(), frames: newConnection(), seen: map[[2]mesh.HostID]bool{}}
	fresh, request, response := newConnection(), rpc.Request{ServiceMethod: rpcMethod, Seq: 1 << 20}, rpc.Response{ServiceMethod: rpcMethod, Seq: 1 << 20}
	first := fresh.size(&simPacket{}, &request, &response)
	m.typeBytes = float64(first - fresh.size(&simPacket{}, &request, &response))
	m.frames.size(&request, &response)
	return m
}

// reset begins a phase.
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

// carry encodes and decodes an envelope and counts its bytes by cause.
func (m *meter) carry(now mesh.Time, from, to *simHost, e *simEnvelope) *simEnvelope {
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
	var counts [causes]float64
	m.attribute(e, &counts)
	known := 0.0
	for _, n := range counts {
		known += n
	}
	frame := m.frames.size(&rpc.Request{ServiceMethod: rpcMethod, Seq: 1 << 20}, &rpc.Response{ServiceMethod: rpcMethod, Seq: 1 << 20})
	counts[causeFrame] = float64(size+frame) - known
	if pair := [2]mesh.HostID{from.id, to.id}; !m.seen[pair] {
		m.seen[pair] = true
		counts[causeTypes] = m.typeBytes
	}
	m.count(now, from, to, &counts)
	return decoded
}

func (m *meter) count(now mesh.Time, from, to *simHost, counts *[causes]float64) {
	sender, receiver := m.host(from.id), m.host(to.id)
	second := int(now.Sub(m.start) / time.Second)
	for len(sender.perSecond) <= second {
		sender.perSecond = append(sender.perSecond, [causes]float64{})
	}
	for c, n := range counts {
		sender.sent[c] += n
		receiver.received[c] += n
		sender.perSecond[second][c] += n
	}
}

func (m *meter) member(c cause, counts *[causes]float64, msg membership.Message) {
	counts[c] += float64(len(membership.EncodeMessages([]membership.Message{msg})) - 1)
}

func (m *meter) part(c cause, counts *[causes]float64, msg Message) {
	counts[c] += float64(len(EncodeMessages([]Message{msg})) - 1)
}

func (m *meter) attribute(e *simEnvelope, counts *[causes]float64) {
	for _, msg := range e.Membership {
		if len(msg.Records) > 0 && msg.Kind != membership.KindJoin && msg.Kind != membership.KindJoinReply {
			m.member(causeRecords, counts, membership.Message{Kind: membership.KindDelta, Records: msg.Records})
			msg.Records = nil
		}
		if msg.Repair != nil {
			m.member(causeRepair, counts, membership.Message{Kind: membership.KindRepair, Repair: msg.Repair})
			msg.Repair = nil
		}
		switch msg.Kind {
		case membership.KindJoin, membership.KindJoinReply:
			m.member(causeJoin, counts, msg)
		case membership.KindDelta, membership.KindRepair:
		default:
			m.member(causeHeartbeat, counts, msg)
		}
	}
	for i := range e.Distribution {
		d := &e.Distribution[i]
		if d.Status != nil {
			m.part(causeStatus, counts, Message{Status: d.Status})
		}
		if d.Push != nil {
			m.part(causePush, counts, Message{Push: d.Push})
		}
		if d.Pull != nil {
			m.part(causePull, counts, Message{Pull: d.Pull})
		}
		if d.FreshRequest != 0 || d.Fresh != nil {
			m.part(causeFresh, counts, Message{FreshRequest: d.FreshRequest, Fresh: d.Fresh})
		}
		if len(d.Items)+len(d.ItemSteps)+len(d.WantItems) > 0 {
			m.part(causeItems, counts, Message{Items: d.Items, ItemSteps: d.ItemSteps, WantItems: d.WantItems})
		}
	}
}

// usage summarises a phase. Rates are in bytes per second.
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

// maxWindow returns the highest rate over a window of whole seconds and its
// causes.
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
