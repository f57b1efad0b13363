package membership

import (
	"encoding/binary"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// maxBatchRecords bounds the records of one message.
	maxBatchRecords = 4096
	// maxBackends bounds the backend servers of one host.
	maxBackends = 64
	// maxStringBytes bounds each string of a record, in bytes.
	maxStringBytes = 255
)

const (
	flagEstablished = 1 << iota
	flagDraining
)

// GobEncode returns the compact encoding of the batch. Strings are coded
// against the same field of the previous record, as the hosts of one failure
// domain share most of their names and addresses.
func (b Batch) GobEncode() ([]byte, error) {
	buf := binary.AppendUvarint(nil, uint64(len(b)))
	prev := &Record{}
	for i := range b {
		buf = appendRecord(buf, prev, &b[i])
		prev = &b[i]
	}
	return buf, nil
}

func appendRecord(buf []byte, prev, r *Record) []byte {
	buf = appendString(buf, string(prev.Host), string(r.Host))
	buf = appendString(buf, string(prev.Domain), string(r.Domain))
	buf = appendString(buf, prev.ControlAddr, r.ControlAddr)
	buf = appendString(buf, prev.CallAddr, r.CallAddr)
	buf = binary.AppendVarint(buf, int64(r.Incarnation-prev.Incarnation))
	buf = binary.AppendVarint(buf, int64(r.Incarnation-r.Started))
	buf = append(buf, byte(r.State), flagIf(flagEstablished, r.Established))
	buf = binary.AppendUvarint(buf, uint64(r.Revision))
	buf = binary.AppendUvarint(buf, uint64(len(r.Backends)))
	last := firstBackend(prev)
	for i := range r.Backends {
		buf = appendBackend(buf, &last, &r.Backends[i])
		last = r.Backends[i]
	}
	return buf
}

func appendBackend(buf []byte, prev, b *Backend) []byte {
	buf = appendString(buf, string(prev.Instance), string(b.Instance))
	buf = appendString(buf, string(prev.Service), string(b.Service))
	buf = appendString(buf, string(prev.Version), string(b.Version))
	buf = binary.AppendUvarint(buf, uint64(b.Slots))
	return append(buf, flagIf(flagDraining, b.Draining))
}

// firstBackend returns the reference for the first backend server of the
// record after prev.
func firstBackend(prev *Record) Backend {
	if len(prev.Backends) == 0 {
		return Backend{}
	}
	return prev.Backends[0]
}

func flagIf(flag byte, set bool) byte {
	if set {
		return flag
	}
	return 0
}

// appendString writes the length of the prefix shared with ref, the length of
// the rest and the rest.
func appendString(buf []byte, ref, s string) []byte {
	n := 0
	for n < len(ref) && n < len(s) && n < maxStringBytes && ref[n] == s[n] {
		n++
	}
	buf = append(buf, byte(n))
	buf = binary.AppendUvarint(buf, uint64(len(s)-n))
	return append(buf, s[n:]...)
}

// GobDecode reads the encoding of GobEncode. The error is of type ErrEncoding
// for input that is malformed or exceeds a limit.
func (b *Batch) GobDecode(data []byte) error {
	d := decoder{data: data}
	count := d.uvarint(maxBatchRecords)
	prev := &Record{}
	var out Batch
	for i := uint64(0); i < count && d.err == nil; i++ {
		out = append(out, d.record(prev))
		prev = &out[len(out)-1]
	}
	if d.err == nil && len(d.data) > 0 {
		d.fail("%d bytes after the last record", len(d.data))
	}
	if d.err != nil {
		return d.err
	}
	*b = out
	return nil
}

// decoder reads fields from data. After the first error all reads return
// zero values.
type decoder struct {
	data []byte
	err  error
}

func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = ErrEncoding.New(format, args...)
	}
	d.data = nil
}

func (d *decoder) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 || v > limit {
		d.fail("number is cut off or above %d", limit)
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.data)
	if n <= 0 {
		d.fail("number is cut off")
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) byte() byte {
	if len(d.data) == 0 {
		d.fail("record is cut off")
		return 0
	}
	v := d.data[0]
	d.data = d.data[1:]
	return v
}

func (d *decoder) string(ref string) string {
	shared := int(d.byte())
	rest := int(d.uvarint(maxStringBytes))
	if shared > len(ref) || rest > len(d.data) || shared+rest > maxStringBytes {
		d.fail("string exceeds its reference, the input or %d bytes", maxStringBytes)
		return ""
	}
	tail := d.data[:rest]
	d.data = d.data[rest:]
	if rest == 0 {
		return ref[:shared]
	}
	return ref[:shared] + string(tail)
}

func (d *decoder) record(prev *Record) Record {
	r := Record{
		Host:        mesh.HostID(d.string(string(prev.Host))),
		Domain:      mesh.FailureDomain(d.string(string(prev.Domain))),
		ControlAddr: d.string(prev.ControlAddr),
		CallAddr:    d.string(prev.CallAddr),
		Incarnation: prev.Incarnation + mesh.Incarnation(d.varint()),
	}
	r.Started = r.Incarnation - mesh.Incarnation(d.varint())
	r.State = State(d.byte())
	r.Established = d.byte()&flagEstablished != 0
	r.Revision = uint32(d.uvarint(1<<32 - 1))
	count := d.uvarint(maxBackends)
	last := firstBackend(prev)
	for i := uint64(0); i < count && d.err == nil; i++ {
		last = d.backend(&last)
		r.Backends = append(r.Backends, last)
	}
	if d.err == nil && (r.Host == "" || r.Domain == "" || r.State < Alive || r.State > Forgotten) {
		d.fail("record has no host, no failure domain or state %d", r.State)
	}
	return r
}

func (d *decoder) backend(prev *Backend) Backend {
	return Backend{
		Instance: mesh.InstanceID(d.string(string(prev.Instance))),
		Service:  mesh.Service(d.string(string(prev.Service))),
		Version:  mesh.BackendVersion(d.string(string(prev.Version))),
		Slots:    uint16(d.uvarint(1<<16 - 1)),
		Draining: d.byte()&flagDraining != 0,
	}
}

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("membership")
	// ErrEncoding is the type of errors for malformed records.
	ErrEncoding = Errors.NewType("encoding")
	// ErrAnnouncement is the type of errors for malformed announcements.
	ErrAnnouncement = Errors.NewType("announcement")
	// ErrUnknownHost is the type of errors for hosts without a record.
	ErrUnknownHost = Errors.NewType("unknown_host")
)
