package sidecar

import (
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// clock measures the time since the start of the process. Unlike the monotonic clock of
// package time it also advances while the host is suspended, so that a host that was
// suspended past the end of a lease doesn't use it.
type clock struct{ startedAt time.Duration } // since the boot of the host

func newClock() (clock, error) {
	at, err := sinceBoot()
	if err != nil {
		return clock{}, errorx.Decorate(err, "read the time since the boot of the host")
	}
	return clock{at}, nil
}

// elapsed returns the time since the start of the process.
func (c clock) elapsed() time.Duration {
	at, err := sinceBoot()
	if err != nil {
		panic(err) // a clock that newClock has read can be read
	}
	return at - c.startedAt
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}
