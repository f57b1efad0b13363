package claims

import (
	"github.com/google/uuid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

const (
	// maxMessages bounds the messages of one envelope. One tick can release all
	// claims that have timed out, so the bound equals the maximum number of
	// records of a shard.
	maxMessages = maxRecords
	// maxWireRecords bounds the records of one message.
	maxWireRecords = 4096
	// maxNameBytes bounds the names of hosts and failure domains on the wire.
	maxNameBytes = 255
)

// Bits of the field mask, which tells the fields that an encoded message
// contains. The domain and the shard are encoded only if they differ from those
// of the identity in the message.
const (
	fieldDomain = 1 << iota
	fieldShard
	fieldID
	fieldTicket
	// fieldSenderTicket replaces fieldTicket if the sender is the requester of
	// the ticket. The requester is then omitted from the encoding.
	fieldSenderTicket
	fieldVerdict
	fieldSeq
	fieldRecords
)

// EncodeMessages returns the compact encoding of messages to one peer.
func EncodeMessages(messages []Message) []byte {
	return wire.EncodeList(messages, (*Message).write)
}

// DecodeMessages decodes the output of EncodeMessages. The error is of type
// wire.ErrMalformed.
func DecodeMessages(data []byte) ([]Message, error) {
	return wire.DecodeList(data, maxMessages, readMessage)
}

// fieldMask returns the bits of the fields that are set in m.
func (m *Message) fieldMask() byte {
	hasTicket := m.Ticket != Ticket{}
	fromRequester := hasTicket && m.Ticket.Requester == m.From
	return wire.FlagIf(fieldDomain, m.Domain != m.ID.Home) | wire.FlagIf(fieldShard, m.Shard != m.ID.Shard()) |
		wire.FlagIf(fieldID, m.ID != Identity{}) | wire.FlagIf(fieldTicket, hasTicket && !fromRequester) |
		wire.FlagIf(fieldSenderTicket, fromRequester) | wire.FlagIf(fieldVerdict, m.Verdict != 0) |
		wire.FlagIf(fieldSeq, m.Seq != 0) | wire.FlagIf(fieldRecords, len(m.Records) > 0)
}

func (m *Message) write(w *wire.Writer) {
	mask := m.fieldMask()
	w.Byte(byte(m.Kind))
	w.Byte(mask)
	w.String(string(m.From.Host))
	w.Int(int64(m.From.Started))
	w.Uint(m.Epoch)
	if mask&fieldID != 0 {
		m.ID.write(w, mesh.FailureDomain(m.From.Host))
	}
	if mask&fieldDomain != 0 {
		w.Prefixed(string(m.From.Host), string(m.Domain))
	}
	if mask&fieldShard != 0 {
		w.Uint(uint64(m.Shard))
	}
	if mask&fieldTicket != 0 {
		m.Ticket.write(w, m.From)
	}
	if mask&fieldSenderTicket != 0 {
		w.Uint(m.Ticket.Number)
	}
	if mask&fieldVerdict != 0 {
		w.Byte(byte(m.Verdict))
	}
	if mask&fieldSeq != 0 {
		w.Uint(m.Seq)
	}
	if mask&fieldRecords != 0 {
		m.writeRecords(w)
	}
}

func readMessage(r *wire.Reader) Message {
	m := Message{Kind: MessageKind(r.Byte())}
	mask := r.Byte()
	if m.Kind < MsgClaim || m.Kind > MsgLeaving {
		r.Fail("claim message has unknown kind %d", m.Kind)
	}
	m.From = Replica{Host: mesh.HostID(r.String(maxNameBytes)), Started: mesh.Time(r.Int())}
	m.Epoch = r.Uint(1<<64 - 1)
	if mask&fieldID != 0 {
		m.ID = readIdentity(r, mesh.FailureDomain(m.From.Host))
	}
	m.Domain, m.Shard = m.ID.Home, m.ID.Shard()
	if mask&fieldDomain != 0 {
		m.Domain = mesh.FailureDomain(r.Prefixed(string(m.From.Host), maxNameBytes))
	}
	if mask&fieldShard != 0 {
		m.Shard = int(r.Uint(ShardCount - 1))
	}
	if mask&fieldTicket != 0 {
		m.Ticket = readTicket(r, m.From)
	}
	if mask&fieldSenderTicket != 0 {
		m.Ticket = Ticket{Requester: m.From, Number: r.Uint(1<<64 - 1)}
	}
	if mask&fieldVerdict != 0 {
		m.Verdict = Verdict(r.Byte())
	}
	if mask&fieldSeq != 0 {
		m.Seq = r.Uint(1<<64 - 1)
	}
	if mask&fieldRecords != 0 {
		m.Records = m.readRecords(r)
	}
	return m
}

// recordBase returns the reference values against which the first record of m
// is encoded.
func (m *Message) recordBase() Record {
	return Record{ID: Identity{Home: m.Domain}, Ticket: Ticket{Requester: m.From}, Epoch: m.Epoch}
}

func (m *Message) writeRecords(w *wire.Writer) {
	w.Uint(uint64(len(m.Records)))
	prev := m.recordBase()
	for _, record := range m.Records {
		record.ID.write(w, prev.ID.Home)
		w.Byte(byte(record.State))
		record.Ticket.write(w, prev.Ticket.Requester)
		w.Int(int64(record.Epoch - prev.Epoch))
		w.Uint(uint64(record.Revision))
		prev = record
	}
}

func (m *Message) readRecords(r *wire.Reader) []Record {
	last := m.recordBase()
	return wire.ReadList(r, maxWireRecords, func(r *wire.Reader, _ *Record) Record {
		last = Record{
			ID: readIdentity(r, last.ID.Home), State: RecordState(r.Byte()),
			Ticket: readTicket(r, last.Ticket.Requester),
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

// write appends the ticket, encoded relative to ref, a replica that is likely
// to be the requester.
func (t *Ticket) write(w *wire.Writer, ref Replica) {
	w.Prefixed(string(ref.Host), string(t.Requester.Host))
	w.Int(int64(t.Requester.Started - ref.Started))
	w.Uint(t.Number)
}

func readTicket(r *wire.Reader, ref Replica) Ticket {
	return Ticket{
		Requester: Replica{
			Host:    mesh.HostID(r.Prefixed(string(ref.Host), maxNameBytes)),
			Started: ref.Started + mesh.Time(r.Int()),
		},
		Number: r.Uint(1<<64 - 1),
	}
}
