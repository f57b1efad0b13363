package callsim

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// exactPlacement places requests with full knowledge: it knows the true work of all
// requests and when each slot will be free. It is a reference for what better
// knowledge can gain, and no upper bound: requests run in order of arrival.
type exactPlacement struct {
	freeAt [unevenInstances][unevenSlots]mesh.Time
}

// maxExactLateWait is the longest wait for a slot of a request that misses its target.
const maxExactLateWait = 100 * time.Millisecond

// placeExactly runs a request where it ends first. A request that would miss its target
// everywhere is refused at once if it would also wait for long.
func (s *unevenSim) placeExactly(c *clientRequest) {
	const maxDelay = crossDelay // an upper bound of the delay
	earliest := s.engine.now.Add(maxDelay)
	best, bestSlot := 0, 0
	var bestStart, bestEnd mesh.Time
	for i := range s.exact.freeAt {
		slots := s.exact.freeAt[i][:]
		slot := slices.Index(slots, slices.Min(slots))
		start := max(slots[slot], earliest)
		end := start.Add(s.duration(c.work.work, i))
		if bestEnd == 0 || end < bestEnd {
			best, bestSlot, bestStart, bestEnd = i, slot, start, end
		}
	}
	answered := bestEnd.Add(maxDelay)
	missesTarget := answered > c.began.Add(c.kind.target) && bestStart.Sub(earliest) > maxExactLateWait
	if missesTarget || answered > c.deadline {
		s.refused(c, bestStart.Sub(s.engine.now))
		return
	}
	s.exact.freeAt[best][bestSlot] = bestEnd
	s.engine.after(answered.Sub(s.engine.now), func() { s.record(c, requestAnswered) })
}
