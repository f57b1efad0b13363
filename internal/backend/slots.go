package backend

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Reasons for which a call gets no slot.
var (
	errQueueFull      = errors.New("all slots are in use and the queue is full")
	errDeadlinePassed = errors.New("the deadline passed while the call was queued")
	errDraining       = errors.New("the server is draining")
)

// load is the occupancy of a server at one time.
type load struct {
	InUse    int
	Queued   int
	Draining bool
}

// slots limits the number of calls that run concurrently and the number of calls
// in the queue. Queued calls get slots in order of arrival. It is safe for
// concurrent use.
type slots struct {
	maxInUse  int
	maxQueued int

	mu       sync.Mutex
	inUse    int
	waiting  []chan struct{} // the queue; each channel is closed to grant a slot
	draining bool
	// idle is closed once the server is draining and no call is left.
	idle chan struct{}
}

func newSlots(maxInUse, maxQueued int) *slots {
	return &slots{maxInUse: maxInUse, maxQueued: maxQueued, idle: make(chan struct{})}
}

// acquire waits for a slot until a value arrives on expired. It returns the number
// of slots in use at the time of return, including the one acquired, or 0 and an
// error.
func (s *slots) acquire(expired <-chan time.Time) (int, error) {
	s.mu.Lock()
	switch {
	case s.draining:
		s.mu.Unlock()
		return 0, errDraining
	case s.inUse < s.maxInUse:
		s.inUse++
		defer s.mu.Unlock()
		return s.inUse, nil
	case len(s.waiting) >= s.maxQueued:
		s.mu.Unlock()
		return 0, errQueueFull
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return s.current().InUse, nil
	case <-expired:
		return s.leaveQueue(granted)
	}
}

// leaveQueue removes a call whose deadline has passed from the queue. If the call
// was granted a slot in the meantime, leaveQueue releases the slot. It always returns
// errDeadlinePassed, as the result of acquire.
func (s *slots) leaveQueue(granted chan struct{}) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, granted); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.closeIdleIfDrained()
		return 0, errDeadlinePassed
	}
	s.releaseLocked()
	return 0, errDeadlinePassed
}

// release grants the slot to the first call in the queue, or frees it if the queue
// is empty.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.inUse--
	s.closeIdleIfDrained()
}

// drain makes acquire refuse further calls. It does not wait: running and queued
// calls continue, and idle is closed when none is left.
func (s *slots) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.closeIdleIfDrained()
	}
}

// closeIdleIfDrained closes idle if the server is draining and no call is
// running or queued.
func (s *slots) closeIdleIfDrained() {
	if s.draining && s.inUse == 0 && len(s.waiting) == 0 {
		close(s.idle)
	}
}

func (s *slots) current() load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return load{InUse: s.inUse, Queued: len(s.waiting), Draining: s.draining}
}
