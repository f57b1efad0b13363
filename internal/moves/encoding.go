package moves

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

const (
	// maxMessages bounds the number of messages that are encoded together. Each
	// move that stops adds one.
	maxMessages = 4096
	// maxListEntries bounds the length of each list in a message or a state. It is
	// above the 10,000 routes that a configuration can have.
	maxListEntries = 16384
	// maxNameBytes bounds the length of names in operators' requests and in
	// messages.
	maxNameBytes = 255
)

// Flags of the lists that an encoded message contains.
const (
	hasEvidence = 1 << iota
	hasStates
	hasStops
)

// EncodeMessages returns the binary encoding of messages to one peer.
func EncodeMessages(messages []Message) []byte {
	return wire.EncodeList(messages, (*Message).write)
}

// DecodeMessages decodes the output of EncodeMessages. Errors are of type
// wire.ErrMalformed.
func DecodeMessages(data []byte) ([]Message, error) {
	return wire.DecodeList(data, maxMessages, readMessage)
}

func (m *Message) write(w *wire.Writer) {
	w.Byte(wire.FlagIf(hasEvidence, len(m.Evidence) > 0) | wire.FlagIf(hasStates, len(m.States) > 0) |
		wire.FlagIf(hasStops, len(m.Stops) > 0))
	w.Uint(m.Sequence)
	w.Int(int64(m.Incarnation))
	w.String(string(m.Domain))
	if len(m.Evidence) > 0 {
		writeReports(w, m.Evidence)
	}
	if len(m.States) > 0 {
		w.Uint(uint64(len(m.States)))
		for i := range m.States {
			m.States[i].write(w)
		}
	}
	if len(m.Stops) > 0 {
		w.Uint(uint64(len(m.Stops)))
		for i := range m.Stops {
			m.Stops[i].write(w)
		}
	}
}

func readMessage(r *wire.Reader) Message {
	flags := r.Byte()
	m := Message{Sequence: r.Uint(math.MaxUint64), Incarnation: mesh.Incarnation(r.Int())}
	m.Domain = readName[mesh.FailureDomain](r)
	if flags&hasEvidence != 0 {
		m.Evidence = wire.ReadList(r, maxListEntries, readReport)
	}
	if flags&hasStates != 0 {
		m.States = wire.ReadList(r, maxListEntries, readState)
	}
	if flags&hasStops != 0 {
		m.Stops = wire.ReadList(r, maxListEntries, readStop)
	}
	return m
}

func readName[T ~string](r *wire.Reader) T { return T(r.String(maxNameBytes)) }

func (s *Stop) write(w *wire.Writer) {
	w.String(string(s.Move))
	w.Uint(s.Step)
	w.Byte(byte(s.Cause))
	w.String(string(s.Route))
}

func readStop(r *wire.Reader, _ *Stop) Stop {
	return Stop{
		Move: readName[mesh.MoveID](r), Step: r.Uint(math.MaxUint64),
		Cause: Cause(r.Byte()), Route: readName[mesh.Route](r),
	}
}

// write encodes the later times as differences from earlier ones, which take
// fewer bytes.
func (s *MoveState) write(w *wire.Writer) {
	w.String(string(s.ID))
	w.String(string(s.Service))
	w.Prefixed(string(s.Service), string(s.From))
	w.Prefixed(string(s.From), string(s.To))
	w.Int(int64(s.Started))
	w.Int(int64(s.Deadline - s.Started))
	w.Int(int64(s.Since - s.Started))
	w.Int(int64(s.Balanced - s.Since))
	w.Byte(byte(s.State))
	w.Uint(s.Step)
	w.Byte(s.Level)
	w.Uint(uint64(s.Share))
	w.Uint(uint64(len(s.Routes)))
	prev := RouteShare{}
	for _, route := range s.Routes {
		w.Prefixed(string(prev.Route), string(route.Route))
		w.Uint(uint64(route.Share))
		prev = route
	}
	w.Byte(byte(s.Cause))
	w.String(string(s.CauseRoute))
	w.Byte(byte(s.Early))
	w.String(string(s.EarlyRoute))
	w.Uint(s.Fence)
	w.Int(int64(s.KeepOld))
}

func readState(r *wire.Reader, _ *MoveState) MoveState {
	s := MoveState{ID: readName[mesh.MoveID](r), Service: readName[mesh.Service](r)}
	s.From = mesh.BackendVersion(r.Prefixed(string(s.Service), maxNameBytes))
	s.To = mesh.BackendVersion(r.Prefixed(string(s.From), maxNameBytes))
	s.Started = mesh.Time(r.Int())
	s.Deadline = s.Started + mesh.Time(r.Int())
	s.Since = s.Started + mesh.Time(r.Int())
	s.Balanced = s.Since + mesh.Time(r.Int())
	s.State = State(r.Byte())
	s.Step = r.Uint(math.MaxUint64)
	s.Level = r.Byte()
	s.Share = Share(r.Uint(math.MaxUint16))
	s.Routes = wire.ReadList(r, maxListEntries, func(r *wire.Reader, prev *RouteShare) RouteShare {
		return RouteShare{
			Route: mesh.Route(r.Prefixed(string(prev.Route), maxNameBytes)), Share: Share(r.Uint(math.MaxUint16)),
		}
	})
	s.Cause, s.CauseRoute = Cause(r.Byte()), readName[mesh.Route](r)
	s.Early, s.EarlyRoute = Cause(r.Byte()), readName[mesh.Route](r)
	s.Fence = r.Uint(math.MaxUint64)
	s.KeepOld = time.Duration(r.Int())
	return s
}
