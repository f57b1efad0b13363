package distribution

import (
	"encoding/hex"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

const (
	// maxNameBytes bounds names, hashes and reasons on the wire.
	maxNameBytes = 255
	// maxMessages bounds the number of messages in one envelope.
	maxMessages = 256
	// maxListEntries bounds the number of entries of each list in a message.
	maxListEntries = 1024
	// maxVersion bounds versions on the wire.
	maxVersion = 1<<63 - 1
	// hashBytes is the size of a SHA-256 hash.
	hashBytes = 32
)

// Presence bits of the fields of a Message.
const (
	partStatus = 1 << iota
	partPush
	partPull
	partFreshRequest
	partFreshHead
	partItems
	partItemSteps
	partRequestedItems
)

// Presence bits of the fields of a Status or an Ack. partReply is the value of
// Status.Reply itself.
const (
	partReply = 1 << iota
	partAck
	partDomains
	partAggregates
	partRejection
	partMissing
)

// EncodeMessages returns the compact encoding of the messages to one peer.
func EncodeMessages(messages []Message) []byte {
	return wire.EncodeList(messages, (*Message).write)
}

// DecodeMessages decodes the result of EncodeMessages. The error is of type
// wire.ErrMalformed.
func DecodeMessages(data []byte) ([]Message, error) {
	return wire.DecodeList(data, maxMessages, readMessage)
}

func (m *Message) write(w *wire.Writer) {
	w.Byte(wire.FlagIf(partStatus, m.Status != nil) | wire.FlagIf(partPush, m.Push != nil) | wire.FlagIf(partPull, m.Pull != nil) |
		wire.FlagIf(partFreshRequest, m.FreshRequest != 0) | wire.FlagIf(partFreshHead, m.FreshHead != nil) | wire.FlagIf(partItems, len(m.Items) > 0) |
		wire.FlagIf(partItemSteps, len(m.ItemSteps) > 0) | wire.FlagIf(partRequestedItems, len(m.RequestedItems) > 0))
	if m.Status != nil {
		m.Status.write(w)
	}
	if m.Push != nil {
		m.Push.write(w)
	}
	if m.Pull != nil {
		w.Uint(uint64(m.Pull.Want))
		w.Uint(uint64(m.Pull.Have))
	}
	if m.FreshRequest != 0 {
		w.Fixed(m.FreshRequest)
	}
	if m.FreshHead != nil {
		w.Fixed(m.FreshHead.Nonce)
		writeHead(w, m.FreshHead.Head)
	}
	m.writeItems(w)
}

func (m *Message) writeItems(w *wire.Writer) {
	writeList(w, m.Items, func(i Item) { w.String(i.ID); w.Uint(i.Step); w.Bytes(i.Value) })
	writeList(w, m.ItemSteps, func(i ItemStep) { w.String(i.ID); w.Uint(i.Step) })
	writeList(w, m.RequestedItems, w.String)
}

func readMessage(r *wire.Reader) Message {
	var m Message
	parts := r.Byte()
	if parts&partStatus != 0 {
		m.Status = readStatus(r)
	}
	if parts&partPush != 0 {
		m.Push = readPush(r)
	}
	if parts&partPull != 0 {
		m.Pull = &Pull{Want: readVersion(r), Have: readVersion(r)}
	}
	if parts&partFreshRequest != 0 {
		m.FreshRequest = r.Fixed()
	}
	if parts&partFreshHead != 0 {
		m.FreshHead = &FreshHead{Nonce: r.Fixed(), Head: readHead(r)}
	}
	m.readItems(r, parts)
	return m
}

func (m *Message) readItems(r *wire.Reader, parts byte) {
	if parts&partItems != 0 {
		m.Items = readList(r, func() Item {
			return Item{ID: r.String(maxNameBytes), Step: r.Uint(maxVersion), Value: r.Bytes(maxItemBytes)}
		})
	}
	if parts&partItemSteps != 0 {
		m.ItemSteps = readList(r, func() ItemStep { return ItemStep{ID: r.String(maxNameBytes), Step: r.Uint(maxVersion)} })
	}
	if parts&partRequestedItems != 0 {
		m.RequestedItems = readList(r, func() string { return r.String(maxNameBytes) })
	}
}

// writeList writes the length and the entries of a list. It writes nothing for
// an empty list, whose presence bit is not set.
func writeList[T any](w *wire.Writer, list []T, write func(T)) {
	if len(list) == 0 {
		return
	}
	w.Uint(uint64(len(list)))
	for _, entry := range list {
		write(entry)
	}
}

func readList[T any](r *wire.Reader, read func() T) []T {
	return wire.ReadList(r, maxListEntries, func(*wire.Reader, *T) T { return read() })
}

// writeHead writes the version and the hash, in binary. A hash that is not a
// SHA-256 in hex is written as empty.
func writeHead(w *wire.Writer, h Head) {
	w.Uint(uint64(h.Version))
	raw, err := hex.DecodeString(h.Hash)
	if err != nil || len(raw) != hashBytes {
		raw = nil
	}
	w.Bytes(raw)
}

func readHead(r *wire.Reader) Head {
	return Head{Version: readVersion(r), Hash: hex.EncodeToString(r.Bytes(hashBytes))}
}

func readVersion(r *wire.Reader) mesh.ConfigVersion { return mesh.ConfigVersion(r.Uint(maxVersion)) }

func (p *Push) write(w *wire.Writer) {
	writeHead(w, p.Head)
	w.Uint(uint64(p.Base))
	w.Bytes(p.Delta)
	w.Bytes(p.Full)
}

func readPush(r *wire.Reader) *Push {
	return &Push{Head: readHead(r), Base: readVersion(r), Delta: r.Bytes(maxContentBytes), Full: r.Bytes(maxContentBytes)}
}

func (s *Status) write(w *wire.Writer) {
	w.Byte(wire.FlagIf(partReply, s.Reply) | wire.FlagIf(partAck, s.Ack != nil) | wire.FlagIf(partDomains, len(s.Domains) > 0) |
		wire.FlagIf(partAggregates, len(s.Aggregates) > 0))
	w.Uint(uint64(s.Head))
	w.Uint(uint64(s.Applied))
	w.Uint(uint64(s.Held))
	w.Fixed(s.ItemDigest)
	if s.Ack != nil {
		s.Ack.write(w)
	}
	writeList(w, s.Domains, func(d DomainAck) {
		w.String(string(d.Domain))
		w.Int(int64(d.Stamp))
		d.Ack.write(w)
		w.Uint(uint64(len(d.Aggregates)))
		for _, a := range d.Aggregates {
			a.write(w)
		}
	})
	writeList(w, s.Aggregates, func(a Aggregate) { a.write(w) })
}

func readStatus(r *wire.Reader) *Status {
	parts := r.Byte()
	s := &Status{Reply: parts&partReply != 0, Head: readVersion(r), Applied: readVersion(r), Held: readVersion(r), ItemDigest: r.Fixed()}
	if parts&partAck != 0 {
		ack := readAck(r)
		s.Ack = &ack
	}
	if parts&partDomains != 0 {
		s.Domains = readList(r, func() DomainAck {
			return DomainAck{
				Domain: mesh.FailureDomain(r.String(maxNameBytes)), Stamp: mesh.Time(r.Int()), Ack: readAck(r),
				Aggregates: readList(r, func() Aggregate { return readAggregate(r) }),
			}
		})
	}
	if parts&partAggregates != 0 {
		s.Aggregates = readList(r, func() Aggregate { return readAggregate(r) })
	}
	return s
}

func (a Aggregate) write(w *wire.Writer) {
	w.Byte(byte(a.Kind))
	w.Bytes(a.Value)
}

func readAggregate(r *wire.Reader) Aggregate {
	return Aggregate{Kind: AggregateKind(r.Byte()), Value: r.Bytes(maxItemBytes)}
}

func (a *Ack) write(w *wire.Writer) {
	w.Byte(wire.FlagIf(partRejection, a.Rejection != nil) | wire.FlagIf(partMissing, len(a.Missing) > 0))
	w.Uint(uint64(a.Version))
	w.Uint(uint64(a.InForce))
	w.Uint(uint64(a.Total))
	prev := mesh.HostID("")
	writeList(w, a.Missing, func(h mesh.HostID) {
		w.Prefixed(string(prev), string(h))
		prev = h
	})
	if a.Rejection != nil {
		w.Uint(uint64(a.Rejection.Version))
		w.Uint(uint64(a.Rejection.Hosts))
		w.String(string(a.Rejection.Host))
		w.String(a.Rejection.Reason)
	}
}

func readAck(r *wire.Reader) Ack {
	const maxHosts = 1<<32 - 1
	parts := r.Byte()
	a := Ack{Version: readVersion(r), InForce: uint32(r.Uint(maxHosts)), Total: uint32(r.Uint(maxHosts))}
	if parts&partMissing != 0 {
		prev := ""
		a.Missing = readList(r, func() mesh.HostID {
			prev = r.Prefixed(prev, maxNameBytes)
			return mesh.HostID(prev)
		})
	}
	if parts&partRejection != 0 {
		a.Rejection = &Rejection{
			Version: readVersion(r), Hosts: uint32(r.Uint(maxHosts)),
			Host: mesh.HostID(r.String(maxNameBytes)), Reason: r.String(maxNameBytes),
		}
	}
	return a
}
