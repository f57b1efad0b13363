package membership

import (
	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

const (
	// maxBatchRecords bounds the records of one message.
	maxBatchRecords = 4096
	// maxBackends bounds the backend servers of one host.
	maxBackends = 64
	// maxStringBytes bounds each string of a record, in bytes.
	maxStringBytes = 255
)

// Bits of the flag bytes of a record and of a backend server.
const (
	flagEstablished = 1 << iota
	flagDraining
)

// writeBatch appends records. Each string is written without the prefix that it
// shares with the same field of the previous record, because the hosts of one
// failure domain share most of their names and addresses.
func writeBatch(w *wire.Writer, b Batch) {
	w.Uint(uint64(len(b)))
	prev := &Record{}
	for i := range b {
		writeRecord(w, prev, &b[i])
		prev = &b[i]
	}
}

func writeRecord(w *wire.Writer, prev, r *Record) {
	writeString(w, string(prev.Host), string(r.Host))
	writeString(w, string(prev.Domain), string(r.Domain))
	writeString(w, prev.ControlAddr, r.ControlAddr)
	writeString(w, prev.CallAddr, r.CallAddr)
	w.Int(int64(r.Incarnation - prev.Incarnation))
	w.Int(int64(r.Incarnation - r.Started))
	w.Byte(byte(r.State))
	w.Byte(wire.FlagIf(flagEstablished, r.Established))
	if !r.Live() {
		w.Int(int64(r.Ended))
	}
	w.Uint(uint64(r.Revision))
	w.Uint(uint64(len(r.Backends)))
	prevBackend := firstBackend(prev)
	for i := range r.Backends {
		writeBackend(w, &prevBackend, &r.Backends[i])
		prevBackend = r.Backends[i]
	}
}

func writeBackend(w *wire.Writer, prev, b *Backend) {
	writeString(w, string(prev.Instance), string(b.Instance))
	writeString(w, string(prev.Service), string(b.Service))
	writeString(w, string(prev.Version), string(b.Version))
	w.Uint(uint64(b.Slots))
	w.Byte(wire.FlagIf(flagDraining, b.Draining))
}

// firstBackend returns the backend server of prev that the first backend server
// of the next record is encoded against.
func firstBackend(prev *Record) Backend {
	if len(prev.Backends) == 0 {
		return Backend{}
	}
	return prev.Backends[0]
}

func writeString(w *wire.Writer, ref, s string) { w.Prefixed(ref, s) }

func readString(r *wire.Reader, ref string) string { return r.Prefixed(ref, maxStringBytes) }

// readBatch reads records. It fails if one has no host, no failure domain or an
// unknown state.
func readBatch(r *wire.Reader) Batch {
	count := r.Uint(maxBatchRecords)
	prev := &Record{}
	var out Batch
	for i := uint64(0); i < count && r.OK(); i++ {
		out = append(out, readRecord(r, prev))
		prev = &out[len(out)-1]
	}
	return out
}

func readRecord(r *wire.Reader, prev *Record) Record {
	rec := Record{
		Host:        mesh.HostID(readString(r, string(prev.Host))),
		Domain:      mesh.FailureDomain(readString(r, string(prev.Domain))),
		ControlAddr: readString(r, prev.ControlAddr),
		CallAddr:    readString(r, prev.CallAddr),
		Incarnation: prev.Incarnation + mesh.Incarnation(r.Int()),
	}
	rec.Started = rec.Incarnation - mesh.Incarnation(r.Int())
	rec.State = State(r.Byte())
	rec.Established = r.Byte()&flagEstablished != 0
	if !rec.Live() {
		rec.Ended = mesh.Time(r.Int())
	}
	rec.Revision = uint32(r.Uint(1<<32 - 1))
	count := r.Uint(maxBackends)
	backend := firstBackend(prev)
	for i := uint64(0); i < count && r.OK(); i++ {
		backend = readBackend(r, &backend)
		rec.Backends = append(rec.Backends, backend)
	}
	if r.OK() && (rec.Host == "" || rec.Domain == "" || rec.State < Alive || rec.State > Forgotten) {
		r.Fail("record has no host, no failure domain or the unknown state %d", rec.State)
	}
	return rec
}

func readBackend(r *wire.Reader, prev *Backend) Backend {
	return Backend{
		Instance: mesh.InstanceID(readString(r, string(prev.Instance))),
		Service:  mesh.Service(readString(r, string(prev.Service))),
		Version:  mesh.BackendVersion(readString(r, string(prev.Version))),
		Slots:    uint16(r.Uint(1<<16 - 1)),
		Draining: r.Byte()&flagDraining != 0,
	}
}

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("membership")
	// ErrAnnouncement is the type of errors for malformed announcements.
	ErrAnnouncement = Errors.NewType("announcement")
	// ErrUnknownHost is the type of errors for hosts without a record.
	ErrUnknownHost = Errors.NewType("unknown_host")
)
