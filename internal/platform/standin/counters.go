package standin

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// rate counts operations by the second of the clock in which they arrive.
type rate struct {
	total   uint64
	peak    uint64
	second  int64
	current uint64
	last    uint64
}

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.total++
	r.current++
	r.peak = max(r.peak, r.current)
}

// advance closes the seconds that have passed since the last operation.
func (r *rate) advance(now time.Time) {
	second := now.Unix()
	if second == r.second {
		return
	}
	r.last = 0
	if second == r.second+1 {
		r.last = r.current
	}
	r.second, r.current = second, 0
}

func (r *rate) snapshot(now time.Time) wire.Rate {
	r.advance(now)
	return wire.Rate{Total: r.total, Peak: r.peak, LastSecond: r.last}
}
