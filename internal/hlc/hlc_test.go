package hlc

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const wall = mesh.Time(1_700_000_000 * int64(time.Second))

// Guards against an effect that is stamped before its cause when the receiving
// host's wall clock is behind the sender's.
func TestReceiveIsAfterSend(t *testing.T) {
	is := is.New(t)
	var sender, receiver Clock
	sent := sender.Now(wall)
	is.NoErr(receiver.Observe(sent, wall.Add(-time.Second)))
	is.True(receiver.Now(wall.Add(-time.Second)) > sent)
}

// Guards against equal or decreasing timestamps when the wall clock stands
// still or steps back, or when the counter overflows.
func TestNowStrictlyIncreases(t *testing.T) {
	is := is.New(t)
	var c Clock
	last := c.Now(wall)
	for i := range 200_000 {
		next := c.Now(wall.Add(-time.Duration(i) * time.Millisecond))
		is.True(next > last)
		last = next
	}
}

// Guards against a host with a faulty clock that advances the clocks of all
// other hosts.
func TestObserveRejectsTimestampTooFarAhead(t *testing.T) {
	is := is.New(t)
	var c, faulty Clock
	first := c.Now(wall)
	is.True(c.Observe(faulty.Now(wall.Add(MaxAhead+time.Second)), wall) != nil)
	is.Equal(c.Last(), first)
}
