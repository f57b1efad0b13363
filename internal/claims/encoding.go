package claims

import (
	"github.com/google/uuid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

const (
	// maxMessages bounds the messages of one envelope. A tick can release all
	// claims that timed out at once, so that the bound is the one of a shard.
	maxMessages = maxRecords
	// maxWireRecords bounds the records of one message.
	maxWireRecords = 4096
	// maxNameBytes bounds names of hosts and failure domains on the wire.
	maxNameBytes = 255
)

// Bits of the parts that a message has. A message on an identity states its
// domain and shard only where they are not those of the identity.
const (
	partDomain = 1 << iota
	partShard
	partID
	partTicket
	// partOwnTicket replaces partTicket if the sender is the asker.
	partOwnTicket
	partVerdict
	partSeq
	partRecords
)

// EncodeMessages returns the compact encoding of messages to one peer.
func EncodeMessages(messages []Message) []byte {
	return wire.EncodeList(messages, (*Message).write)
}

// DecodeMessages reads the encoding of EncodeMessages. The error is of type
// wire.ErrMalformed.
func DecodeMessages(data []byte) ([]Message, error) {
	return wire.DecodeList(data, maxMessages, readMessage)
}

// parts returns the bits of the parts that m has.
func (m *Message) parts() byte {
	hasTicket := m.Ticket != Ticket{}
	own := hasTicket && m.Ticket.Asker == m.From
	return wire.FlagIf(partDomain, m.Domain != m.ID.Home) | wire.FlagIf(partShard, m.Shard != m.ID.Shard()) |
		wire.FlagIf(partID, m.ID != Identity{}) | wire.FlagIf(partTicket, hasTicket && !own) |
		wire.FlagIf(partOwnTicket, own) | wire.FlagIf(partVerdict, m.Verdict != 0) |
		wire.FlagIf(partSeq, m.Seq != 0) | wire.FlagIf(partRecords, len(m.Records) > 0)
}

func (m *Message) write(w *wire.Writer) {
	parts := m.parts()
	w.Byte(byte(m.Kind))
	w.Byte(parts)
	w.String(string(m.From.Host))
	w.Int(int64(m.From.Started))
	w.Uint(m.Epoch)
	if parts&partID != 0 {
		m.ID.write(w, mesh.FailureDomain(m.From.Host))
	}
	if parts&partDomain != 0 {
		w.Prefixed(string(m.From.Host), string(m.Domain))
	}
	if parts&partShard != 0 {
		w.Uint(uint64(m.Shard))
	}
	if parts&partTicket != 0 {
		m.Ticket.write(w, m.From)
	}
	if parts&partOwnTicket != 0 {
		w.Uint(m.Ticket.Number)
	}
	if parts&partVerdict != 0 {
		w.Byte(byte(m.Verdict))
	}
	if parts&partSeq != 0 {
		w.Uint(m.Seq)
	}
	if parts&partRecords != 0 {
		m.writeRecords(w)
	}
}

func readMessage(r *wire.Reader) Message {
	m := Message{Kind: MessageKind(r.Byte())}
	parts := r.Byte()
	if m.Kind < MsgClaim || m.Kind > MsgLeaving {
		r.Fail("message has the unknown kind %d", m.Kind)
	}
	m.From = Replica{Host: mesh.HostID(r.String(maxNameBytes)), Started: mesh.Time(r.Int())}
	m.Epoch = r.Uint(1<<64 - 1)
	if parts&partID != 0 {
		m.ID = readIdentity(r, mesh.FailureDomain(m.From.Host))
	}
	m.Domain, m.Shard = m.ID.Home, m.ID.Shard()
	if parts&partDomain != 0 {
		m.Domain = mesh.FailureDomain(r.Prefixed(string(m.From.Host), maxNameBytes))
	}
	if parts&partShard != 0 {
		m.Shard = int(r.Uint(ShardCount - 1))
	}
	if parts&partTicket != 0 {
		m.Ticket = readTicket(r, m.From)
	}
	if parts&partOwnTicket != 0 {
		m.Ticket = Ticket{Asker: m.From, Number: r.Uint(1<<64 - 1)}
	}
	if parts&partVerdict != 0 {
		m.Verdict = Verdict(r.Byte())
	}
	if parts&partSeq != 0 {
		m.Seq = r.Uint(1<<64 - 1)
	}
	if parts&partRecords != 0 {
		m.Records = m.readRecords(r)
	}
	return m
}

// before returns the values that the first record of m is encoded against.
func (m *Message) before() Record {
	return Record{ID: Identity{Home: m.Domain}, Ticket: Ticket{Asker: m.From}, Epoch: m.Epoch}
}

func (m *Message) writeRecords(w *wire.Writer) {
	w.Uint(uint64(len(m.Records)))
	prev := m.before()
	for _, record := range m.Records {
		record.ID.write(w, prev.ID.Home)
		w.Byte(byte(record.State))
		record.Ticket.write(w, prev.Ticket.Asker)
		w.Int(int64(record.Epoch - prev.Epoch))
		w.Uint(uint64(record.Revision))
		prev = record
	}
}

func (m *Message) readRecords(r *wire.Reader) []Record {
	last := m.before()
	return wire.ReadList(r, maxWireRecords, func(r *wire.Reader, _ *Record) Record {
		last = Record{
			ID: readIdentity(r, last.ID.Home), State: RecordState(r.Byte()),
			Ticket: readTicket(r, last.Ticket.Asker),
			Epoch:  last.Epoch + uint64(r.Int()), Revision: uint32(r.Uint(1<<32 - 1)),
		}
		return last
	})
}

func (id *Identity) write(w *wire.Writer, ref mesh.FailureDomain) {
	w.Prefixed(string(ref), string(id.Home))
	w.Buf = append(w.Buf, id.UUID[:]...)
}

func readIdentity(r *wire.Reader, ref mesh.FailureDomain) Identity {
	id := Identity{Home: mesh.FailureDomain(r.Prefixed(string(ref), maxNameBytes))}
	copy(id.UUID[:], r.Raw(len(uuid.UUID{})))
	return id
}

// write appends the ticket against a replica that is likely to be the asker.
func (t *Ticket) write(w *wire.Writer, ref Replica) {
	w.Prefixed(string(ref.Host), string(t.Asker.Host))
	w.Int(int64(t.Asker.Started - ref.Started))
	w.Uint(t.Number)
}

func readTicket(r *wire.Reader, ref Replica) Ticket {
	return Ticket{
		Asker: Replica{
			Host:    mesh.HostID(r.Prefixed(string(ref.Host), maxNameBytes)),
			Started: ref.Started + mesh.Time(r.Int()),
		},
		Number: r.Uint(1<<64 - 1),
	}
}
