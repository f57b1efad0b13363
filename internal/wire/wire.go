// Package wire holds the building blocks of the compact encodings of control
// messages. The messages travel as byte slices within a gob envelope. As plain
// structs they cost 1.8 KB of type descriptions at the start of each
// connection, which was the largest share of the control bytes when many nodes
// restarted together.
package wire

import (
	"encoding/binary"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("wire")
	// ErrMalformed is the type of errors for input that is truncated or exceeds a
	// limit.
	ErrMalformed = Errors.NewType("malformed")
)

// maxPrefix is the longest shared prefix that one byte can state.
const maxPrefix = 255

// Writer appends values to Buf.
type Writer struct {
	Buf []byte
}

// Uint appends an unsigned number of variable length.
func (w *Writer) Uint(v uint64) { w.Buf = binary.AppendUvarint(w.Buf, v) }

// Int appends a signed number of variable length.
func (w *Writer) Int(v int64) { w.Buf = binary.AppendVarint(w.Buf, v) }

// Fixed appends 8 bytes. It suits hashes, which are rarely small.
func (w *Writer) Fixed(v uint64) { w.Buf = binary.LittleEndian.AppendUint64(w.Buf, v) }

// Byte appends one byte.
func (w *Writer) Byte(b byte) { w.Buf = append(w.Buf, b) }

// String appends a string and its length.
func (w *Writer) String(s string) {
	w.Uint(uint64(len(s)))
	w.Buf = append(w.Buf, s...)
}

// Bytes appends a byte slice and its length.
func (w *Writer) Bytes(b []byte) {
	w.Uint(uint64(len(b)))
	w.Buf = append(w.Buf, b...)
}

// Prefixed appends a string as the length of the prefix shared with ref and
// the rest. It suits names that follow each other in a list.
func (w *Writer) Prefixed(ref, s string) {
	n := 0
	for n < len(ref) && n < len(s) && n < maxPrefix && ref[n] == s[n] {
		n++
	}
	w.Byte(byte(n))
	w.String(s[n:])
}

// Reader reads what a Writer appended. After the first error all reads return
// zero values.
type Reader struct {
	data []byte
	err  error
}

// NewReader returns a Reader of data.
func NewReader(data []byte) *Reader { return &Reader{data: data} }

// Fail records an error of type ErrMalformed unless there is one already.
func (r *Reader) Fail(format string, args ...any) {
	if r.err == nil {
		r.err = ErrMalformed.New(format, args...)
	}
	r.data = nil
}

// OK reports whether all reads succeeded so far.
func (r *Reader) OK() bool { return r.err == nil }

// Close returns the first error. Bytes that were not read are an error.
func (r *Reader) Close() error {
	if r.err == nil && len(r.data) > 0 {
		r.Fail("%d bytes after the end of the message", len(r.data))
	}
	return r.err
}

// Uint reads an unsigned number up to limit.
func (r *Reader) Uint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > limit {
		r.Fail("number is truncated or above %d", limit)
		return 0
	}
	r.data = r.data[n:]
	return v
}

// Int reads a signed number.
func (r *Reader) Int() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.Fail("number is truncated")
		return 0
	}
	r.data = r.data[n:]
	return v
}

// Fixed reads 8 bytes.
func (r *Reader) Fixed() uint64 {
	if len(r.data) < 8 {
		r.Fail("number of 8 bytes is cut off")
		return 0
	}
	v := binary.LittleEndian.Uint64(r.data)
	r.data = r.data[8:]
	return v
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if len(r.data) == 0 {
		r.Fail("message is cut off")
		return 0
	}
	v := r.data[0]
	r.data = r.data[1:]
	return v
}

// String reads a string of at most limit bytes.
func (r *Reader) String(limit int) string { return string(r.take(limit)) }

// Bytes reads a byte slice of at most limit bytes. It is a copy, and nil if it
// is empty.
func (r *Reader) Bytes(limit int) []byte {
	data := r.take(limit)
	if len(data) == 0 {
		return nil
	}
	return append([]byte(nil), data...)
}

// Prefixed reads a string of at most limit bytes that was written against
// ref.
func (r *Reader) Prefixed(ref string, limit int) string {
	shared := int(r.Byte())
	rest := r.String(limit)
	if shared > len(ref) || shared+len(rest) > limit {
		r.Fail("string exceeds its reference or %d bytes", limit)
		return ""
	}
	if rest == "" {
		return ref[:shared]
	}
	return ref[:shared] + rest
}

// Raw reads n bytes without a length before them.
func (r *Reader) Raw(n int) []byte {
	if n > len(r.data) {
		r.Fail("value of %d bytes is cut off", n)
		return nil
	}
	data := r.data[:n]
	r.data = r.data[n:]
	return data
}

func (r *Reader) take(limit int) []byte { return r.Raw(int(r.Uint(uint64(limit)))) }
