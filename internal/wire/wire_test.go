package wire

import (
	"math"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Guards against a value that changes when a Writer encodes it and a Reader decodes it.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	w := &Writer{}
	w.Uint(math.MaxUint64)
	w.Int(math.MinInt64)
	w.Fixed(1)
	w.Byte(255)
	w.String("host")
	w.Bytes([]byte{0, 1})
	w.Bytes(nil)
	w.Prefixed("host-001", "host-002")
	w.Prefixed("host-002", "host-002")
	r := NewReader(w.Buf)
	is.Equal(r.Uint(math.MaxUint64), uint64(math.MaxUint64))
	is.Equal(r.Int(), int64(math.MinInt64))
	is.Equal(r.Fixed(), uint64(1))
	is.Equal(r.Byte(), byte(255))
	is.Equal(r.String(4), "host")
	is.Equal(r.Bytes(2), []byte{0, 1})
	is.True(r.Bytes(2) == nil)
	is.Equal(r.Prefixed("host-001", 8), "host-002")
	is.Equal(r.Prefixed("host-002", 8), "host-002")
	is.NoErr(r.Close())
}

// Guards against a shared prefix whose length does not fit into one byte.
func TestSharedPrefixBeyondOneByte(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("a", maxPrefix+50)
	w := &Writer{}
	w.Prefixed(long, long)
	r := NewReader(w.Buf)
	is.Equal(r.Prefixed(long, len(long)), long)
	is.NoErr(r.Close())
}

// Guards against input from a peer that crashes the node, and against accepting input
// that exceeds a limit or is truncated.
func TestMalformedInput(t *testing.T) {
	overflow := []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}
	for name, c := range map[string]struct {
		data []byte
		read func(*Reader)
	}{
		"uint empty":                   {nil, func(r *Reader) { r.Uint(9) }},
		"uint truncated":               {[]byte{128}, func(r *Reader) { r.Uint(999) }},
		"uint above limit":             {[]byte{10}, func(r *Reader) { r.Uint(9) }},
		"uint over 64 bits":            {overflow, func(r *Reader) { r.Uint(math.MaxUint64) }},
		"int truncated":                {[]byte{128}, func(r *Reader) { r.Int() }},
		"int over 64 bits":             {overflow, func(r *Reader) { r.Int() }},
		"fixed truncated":              {make([]byte, 7), func(r *Reader) { r.Fixed() }},
		"byte empty":                   {nil, func(r *Reader) { r.Byte() }},
		"string above limit":           {[]byte{3, 'a', 'b', 'c'}, func(r *Reader) { _ = r.String(2) }},
		"string truncated":             {[]byte{3, 'a', 'b'}, func(r *Reader) { _ = r.String(9) }},
		"bytes length huge":            {overflow, func(r *Reader) { r.Bytes(9) }},
		"bytes truncated":              {[]byte{2, 1}, func(r *Reader) { r.Bytes(9) }},
		"prefix longer than reference": {[]byte{3, 0}, func(r *Reader) { r.Prefixed("ab", 9) }},
		"prefixed above limit":         {[]byte{2, 1, 'c'}, func(r *Reader) { r.Prefixed("ab", 2) }},
		"raw truncated":                {[]byte{1}, func(r *Reader) { r.Raw(2) }},
		"unread bytes":                 {[]byte{1, 2}, func(r *Reader) { r.Byte() }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewReader(c.data)
			c.read(r)
			is.True(errorx.IsOfType(r.Close(), ErrMalformed))
			is.True(!r.OK())
		})
	}
}

// Guards against reads after an error that return data, and against a later
// error that hides the first one.
func TestReaderStopsAtFirstError(t *testing.T) {
	is := is.New(t)
	r := NewReader([]byte{10, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	r.Uint(9)
	first := r.Close()
	is.Equal(r.Uint(9), uint64(0))
	is.Equal(r.Fixed(), uint64(0))
	is.Equal(r.String(9), "")
	is.Equal(r.Prefixed("ab", 9), "")
	is.Equal(r.Close(), first)
}

// Guards against a Bytes result that changes with the receive buffer.
func TestBytesAreCopied(t *testing.T) {
	is := is.New(t)
	data := []byte{1, 7}
	got := NewReader(data).Bytes(9)
	data[1] = 8
	is.Equal(got, []byte{7})
}
