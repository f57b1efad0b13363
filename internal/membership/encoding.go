package membership

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

const (
	// maxMessages bounds the messages that are encoded together for one peer.
	maxMessages = 256
	// maxListEntries bounds each list of a message other than its records.
	maxListEntries = 4096
)

// Bits of the byte that tells which optional parts a message has.
const (
	partUnreachable = 1 << iota
	partRecords
	partRepair
	partDigest
	partAssignment
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

func (m *Message) write(w *wire.Writer) {
	w.Byte(byte(m.Kind))
	w.Byte(wire.FlagIf(partUnreachable, len(m.Unreachable) > 0) | wire.FlagIf(partRecords, len(m.Records) > 0) |
		wire.FlagIf(partRepair, m.Repair != nil) | wire.FlagIf(partDigest, m.Digest != 0) |
		wire.FlagIf(partAssignment, m.Assignment != nil))
	if m.Digest != 0 {
		w.Fixed(m.Digest)
	}
	if len(m.Unreachable) > 0 {
		writeNames(w, m.Unreachable)
	}
	if len(m.Records) > 0 {
		writeBatch(w, m.Records)
	}
	if m.Repair != nil {
		m.Repair.write(w)
	}
	if m.Assignment != nil {
		w.String(string(m.Assignment.Parent))
		w.Uint(uint64(m.Assignment.Members))
	}
}

func readMessage(r *wire.Reader) Message {
	m := Message{Kind: MessageKind(r.Byte())}
	parts := r.Byte()
	if m.Kind < KindHeartbeat || m.Kind > KindRepair {
		r.Fail("unknown message kind %d", m.Kind)
	}
	if parts&partDigest != 0 {
		m.Digest = r.Fixed()
	}
	if parts&partUnreachable != 0 {
		m.Unreachable = readNames[mesh.FailureDomain](r)
	}
	if parts&partRecords != 0 {
		m.Records = readBatch(r)
	}
	if parts&partRepair != 0 {
		m.Repair = readRepair(r)
	}
	if parts&partAssignment != 0 {
		m.Assignment = &ParentAssignment{Parent: mesh.HostID(r.String(maxStringBytes)), Members: uint32(r.Uint(1<<32 - 1))}
	}
	return m
}

func writeNames[T ~string](w *wire.Writer, names []T) {
	w.Uint(uint64(len(names)))
	prev := ""
	for _, name := range names {
		writeString(w, prev, string(name))
		prev = string(name)
	}
}

func readNames[T ~string](r *wire.Reader) []T {
	return readList(r, func(prev *T) T { return T(readString(r, string(*prev))) })
}

// readList reads a count and that many entries. read receives the previous
// entry, since entries are encoded relative to it.
func readList[T any](r *wire.Reader, read func(prev *T) T) []T {
	return wire.ReadList(r, maxListEntries, func(_ *wire.Reader, prev *T) T { return read(prev) })
}

func (s *Repair) write(w *wire.Writer) {
	w.Byte(wire.FlagIf(1, s.LocalOnly))
	w.Uint(uint64(len(s.Digests)))
	prev := ""
	for _, d := range s.Digests {
		writeString(w, prev, string(d.Domain))
		w.Fixed(d.Digest)
		w.Uint(uint64(d.Count))
		prev = string(d.Domain)
	}
	w.Uint(uint64(len(s.Buckets)))
	for _, b := range s.Buckets {
		w.String(string(b.Domain))
		w.Uint(uint64(len(b.Digests)))
		for _, digest := range b.Digests {
			w.Fixed(digest)
		}
	}
	w.Uint(uint64(len(s.Summaries)))
	for i := range s.Summaries {
		s.Summaries[i].write(w)
	}
	writeNames(w, s.RequestedHosts)
	writeNames(w, s.RequestedDomains)
}

func (s *BucketSummary) write(w *wire.Writer) {
	w.String(string(s.Domain))
	w.Byte(s.Bucket)
	w.Uint(uint64(len(s.IDs)))
	prev := RecordID{}
	for _, id := range s.IDs {
		writeString(w, string(prev.Host), string(id.Host))
		w.Int(int64(id.Incarnation - prev.Incarnation))
		w.Byte(byte(id.State))
		w.Uint(uint64(id.Revision))
		prev = id
	}
}

func readRepair(r *wire.Reader) *Repair {
	s := &Repair{LocalOnly: r.Byte() != 0}
	s.Digests = readList(r, func(prev *DomainDigest) DomainDigest {
		return DomainDigest{
			Domain: mesh.FailureDomain(readString(r, string(prev.Domain))),
			Digest: r.Fixed(), Count: uint32(r.Uint(1<<32 - 1)),
		}
	})
	s.Buckets = readList(r, func(*BucketDigests) BucketDigests {
		return BucketDigests{
			Domain:  mesh.FailureDomain(r.String(maxStringBytes)),
			Digests: readList(r, func(*uint64) uint64 { return r.Fixed() }),
		}
	})
	s.Summaries = readList(r, func(*BucketSummary) BucketSummary { return readSummary(r) })
	s.RequestedHosts = readNames[mesh.HostID](r)
	s.RequestedDomains = readNames[mesh.FailureDomain](r)
	return s
}

func readSummary(r *wire.Reader) BucketSummary {
	s := BucketSummary{Domain: mesh.FailureDomain(r.String(maxStringBytes)), Bucket: r.Byte()}
	s.IDs = readList(r, func(prev *RecordID) RecordID {
		return RecordID{
			Host:        mesh.HostID(readString(r, string(prev.Host))),
			Incarnation: prev.Incarnation + mesh.Incarnation(r.Int()),
			State:       State(r.Byte()), Revision: uint32(r.Uint(1<<32 - 1)),
		}
	})
	return s
}
