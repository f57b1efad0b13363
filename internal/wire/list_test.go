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

// Guards against an envelope without messages of a package that counts as a
// malformed one.
func TestEmptyListTakesNoBytes(t *testing.T) {
	is := is.New(t)
	is.Equal(len(encodeNames()), 0)
	names, err := decodeNames(nil)
	is.NoErr(err)
	is.Equal(len(names), 0)
}

// Guards against a list that is taken although it exceeds its limit or is cut
// off.
func TestListLimits(t *testing.T) {
	is := is.New(t)
	names, err := decodeNames(encodeNames("a", "b"))
	is.NoErr(err)
	is.Equal(names, []string{"a", "b"})
	whole := encodeNames("a", "b")
	for _, data := range [][]byte{encodeNames("a", "b", "c"), whole[:len(whole)-1], append(whole, 0)} {
		_, err := decodeNames(data)
		is.True(errorx.IsOfType(err, ErrMalformed))
	}
}
