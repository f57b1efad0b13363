package wire

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func encodeNames(names ...string) []byte {
	return EncodeList(names, func(s *string, w *Writer) { w.String(*s) })
}

func decodeNames(data []byte) ([]string, error) {
	return DecodeList(data, 2, func(r *Reader) string { return r.String(9) })
}

// Guards against treating an envelope as malformed because a package has no messages
// in it.
func TestEmptyListTakesNoBytes(t *testing.T) {
	is := is.New(t)
	is.Equal(len(encodeNames()), 0)
	names, err := decodeNames(nil)
	is.NoErr(err)
	is.Equal(len(names), 0)
}

// Guards against accepting a list that exceeds its limit, is truncated, or has bytes
// after its end.
func TestListLimits(t *testing.T) {
	is := is.New(t)
	names, err := decodeNames(encodeNames("a", "b"))
	is.NoErr(err)
	is.Equal(names, []string{"a", "b"})
	encoded := encodeNames("a", "b")
	for _, data := range [][]byte{encodeNames("a", "b", "c"), encoded[:len(encoded)-1], append(encoded, 0)} {
		_, err := decodeNames(data)
		is.True(errorx.IsOfType(err, ErrMalformed))
	}
}
