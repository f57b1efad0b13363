// Package hlc implements a hybrid logical clock: its timestamps follow wall time
// and order causally related events of different hosts.
//
// The package reads no clock. The caller supplies the wall time.
package hlc

import (
	"fmt"
	"strconv"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// counterBits is the width of the logical counter in a Timestamp.
const counterBits = 16

// MaxAhead is the greatest lead of a remote timestamp over the local wall time
// that Observe accepts. A larger lead comes from a faulty clock, and following
// it would make every later timestamp of this host useless.
const MaxAhead = 2 * time.Second

// Timestamp is a point in hybrid time: milliseconds since the Unix epoch in the
// upper 48 bits and a logical counter in the lower 16. Timestamps are ordered by
// their numeric value.
type Timestamp uint64

// Wall returns the wall time part, with a resolution of one millisecond.
func (t Timestamp) Wall() mesh.Time {
	return mesh.Time(t>>counterBits) * mesh.Time(time.Millisecond)
}

// Counter returns the logical counter.
func (t Timestamp) Counter() uint16 { return uint16(t) }

// String returns the UTC wall time in RFC 3339 form, a plus sign and the counter.
func (t Timestamp) String() string {
	wall := time.Unix(0, int64(t.Wall())).UTC()
	return wall.Format("2006-01-02T15:04:05.000Z") + "+" + strconv.Itoa(int(t.Counter()))
}

// Clock issues timestamps. The zero Clock is ready for use. It is not safe for
// concurrent use.
type Clock struct {
	last Timestamp
}

// Now returns a timestamp that is greater than all earlier ones of this clock
// and than all observed ones.
func (c *Clock) Now(wall mesh.Time) Timestamp {
	c.last = max(c.last+1, fromWall(wall))
	return c.last
}

// Last returns the latest timestamp issued or observed.
func (c *Clock) Last() Timestamp { return c.last }

// Observe advances the clock to a timestamp from another host, so that later
// local timestamps are greater. A timestamp that is more than MaxAhead ahead of
// wall is ignored and reported as an error.
func (c *Clock) Observe(remote Timestamp, wall mesh.Time) error {
	if ahead := remote.Wall().Sub(wall); ahead > MaxAhead {
		return fmt.Errorf("remote timestamp %v is %v ahead of the local clock, more than %v", remote, ahead, MaxAhead)
	}
	c.last = max(c.last, remote)
	return nil
}

func fromWall(wall mesh.Time) Timestamp {
	return Timestamp(wall/mesh.Time(time.Millisecond)) << counterBits
}
