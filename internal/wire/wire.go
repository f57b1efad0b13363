// Package wire holds the building blocks of the compact encodings of control
// messages. The messages are sent as byte slices within a gob envelope. Sent as plain
// structs, they cost 1.8 KB of type descriptions at the start of each connection,
// which was the largest share of the control traffic when many nodes restarted
// together.
package wire

import (
	"encoding/binary"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("wire")
	// ErrMalformed is the type of errors for input that is truncated, exceeds a limit,
	// or has bytes after its end.
	ErrMalformed = Errors.NewType("malformed")
)

// maxPrefix is the longest shared prefix, whose length is encoded in one byte.
const maxPrefix = 255

// Writer appends values to Buf.
type Writer struct {
	Buf []byte
}

// Uint appends an unsigned varint.
func (w *Writer) Uint(v uint64) { w.Buf = binary.AppendUvarint(w.Buf, v) }

// Int appends a signed varint.
func (w *Writer) Int(v int64) { w.Buf = binary.AppendVarint(w.Buf, v) }

// Fixed appends a number as 8 bytes. It suits hashes: they are rarely small, so a
// varint would be longer.
func (w *Writer) Fixed(v uint64) { w.Buf = binary.LittleEndian.AppendUint64(w.Buf, v) }

// Byte appends one byte.
func (w *Writer) Byte(b byte) { w.Buf = append(w.Buf, b) }

// String appends the length of a string and the string.
func (w *Writer) String(s string) {
	w.Uint(uint64(len(s)))
	w.Buf = append(w.Buf, s...)
}

// Bytes appends the length of a byte slice and the bytes.
func (w *Writer) Bytes(b []byte) {
	w.Uint(uint64(len(b)))
	w.Buf = append(w.Buf, b...)
}

// Prefixed appends s as the length of the prefix that it shares with ref, followed by
// the rest of s. It suits the names of a list, with the previous name as ref.
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

// NewReader returns a Reader that decodes data.
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

// Close returns the first error. It is an error if bytes have not been read.
func (r *Reader) Close() error {
	if r.err == nil && len(r.data) > 0 {
		r.Fail("%d bytes after the end of the message", len(r.data))
	}
	return r.err
}

// Uint reads an unsigned varint of at most limit.
func (r *Reader) Uint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > limit {
		r.Fail("number is truncated or above %d", limit)
		return 0
	}
	r.data = r.data[n:]
	return v
}

// Int reads a signed varint.
func (r *Reader) Int() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.Fail("number is truncated")
		return 0
	}
	r.data = r.data[n:]
	return v
}

// Fixed reads a number of 8 bytes.
func (r *Reader) Fixed() uint64 {
	if len(r.data) < 8 {
		r.Fail("number of 8 bytes is truncated")
		return 0
	}
	v := binary.LittleEndian.Uint64(r.data)
	r.data = r.data[8:]
	return v
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if len(r.data) == 0 {
		r.Fail("message is truncated: one byte is missing")
		return 0
	}
	v := r.data[0]
	r.data = r.data[1:]
	return v
}

// String reads a string of at most limit bytes.
func (r *Reader) String(limit int) string { return string(r.lengthPrefixed(limit)) }

// Bytes reads a byte slice of at most limit bytes. It returns a copy, or nil for an
// empty slice.
func (r *Reader) Bytes(limit int) []byte {
	data := r.lengthPrefixed(limit)
	if len(data) == 0 {
		return nil
	}
	return append([]byte(nil), data...)
}

// Prefixed reads a string of at most limit bytes that Writer.Prefixed wrote with the
// same ref.
func (r *Reader) Prefixed(ref string, limit int) string {
	shared := int(r.Byte())
	rest := r.String(limit)
	if shared > len(ref) || shared+len(rest) > limit {
		r.Fail("shared prefix exceeds the reference string, or the string exceeds %d bytes", limit)
		return ""
	}
	if rest == "" {
		return ref[:shared]
	}
	return ref[:shared] + rest
}

// Raw reads n bytes that have no length prefix. The result shares memory with the
// data of the Reader.
func (r *Reader) Raw(n int) []byte {
	if n > len(r.data) {
		r.Fail("value of %d bytes is truncated", n)
		return nil
	}
	data := r.data[:n]
	r.data = r.data[n:]
	return data
}

// lengthPrefixed reads a length of at most limit and that many bytes.
func (r *Reader) lengthPrefixed(limit int) []byte { return r.Raw(int(r.Uint(uint64(limit)))) }
