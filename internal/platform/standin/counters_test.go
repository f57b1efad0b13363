package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// Guards against a rate that counts operations in idle seconds after them or loses its
// peak.
func TestRateCountsBySecond(t *testing.T) {
	is := is.New(t)
	at := func(second int64) time.Time { return time.Unix(1000+second, 0) }
	var r rate
	for range 3 {
		r.add(at(0))
	}
	r.add(at(1))
	is.Equal(r.snapshot(at(1)), wire.Rate{Total: 4, Peak: 3, LastSecond: 3})
	is.Equal(r.snapshot(at(2)), wire.Rate{Total: 4, Peak: 3, LastSecond: 1})
	is.Equal(r.snapshot(at(9)), wire.Rate{Total: 4, Peak: 3, LastSecond: 0})
}
