package standin

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// rate counts operations per second of the clock, by the time of arrival.
type rate struct {
	total         uint64
	peak          uint64 // largest number in one second
	currentSecond int64  // Unix time of the second being counted
	currentCount  uint64 // number in currentSecond
	lastSecond    uint64 // number in the second before currentSecond
}

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.total++
	r.currentCount++
	r.peak = max(r.peak, r.currentCount)
}

// advance ends the seconds that have passed since currentSecond and starts to count
// the present one.
func (r *rate) advance(now time.Time) {
	second := now.Unix()
	if second == r.currentSecond {
		return
	}
	r.lastSecond = 0
	if second == r.currentSecond+1 {
		r.lastSecond = r.currentCount
	}
	r.currentSecond, r.currentCount = second, 0
}

func (r *rate) snapshot(now time.Time) wire.Rate {
	r.advance(now)
	return wire.Rate{Total: r.total, Peak: r.peak, LastSecond: r.lastSecond}
}
