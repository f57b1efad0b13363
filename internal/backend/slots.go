package backend

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Reasons for which a call gets no slot.
var (
	errShed     = errors.New("all slots and the queue are full")
	errDeadline = errors.New("the deadline passed in the queue")
	errDraining = errors.New("the server is draining")
)

// load is the occupancy of a server at one time.
type load struct {
	InUse    int
	Queued   int
	Draining bool
}

// slots bounds the calls that run at once and those that wait, first come
// first served. It is safe for concurrent use.
type slots struct {
	size  int
	queue int

	mu       sync.Mutex
	inUse    int
	waiting  []chan struct{}
	draining bool
	// idle is closed once the server is draining and no call is left.
	idle chan struct{}
}

func newSlots(size, queue int) *slots {
	return &slots{size: size, queue: queue, idle: make(chan struct{})}
}

// acquire waits for a slot until expired delivers. It returns the number of
// slots in use, including the one acquired.
func (s *slots) acquire(expired <-chan time.Time) (int, error) {
	s.mu.Lock()
	switch {
	case s.draining:
		s.mu.Unlock()
		return 0, errDraining
	case s.inUse < s.size:
		s.inUse++
		defer s.mu.Unlock()
		return s.inUse, nil
	case len(s.waiting) >= s.queue:
		s.mu.Unlock()
		return 0, errShed
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return s.current().InUse, nil
	case <-expired:
		return s.giveUp(granted)
	}
}

// giveUp leaves the queue. A slot that was granted in the meantime is passed on.
func (s *slots) giveUp(granted chan struct{}) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, granted); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.checkIdle()
		return 0, errDeadline
	}
	s.releaseLocked()
	return 0, errDeadline
}

// release passes the slot to the first call in the queue.
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
	s.checkIdle()
}

// drain refuses further calls. Calls that run or wait are finished.
func (s *slots) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.checkIdle()
	}
}

func (s *slots) checkIdle() {
	if s.draining && s.inUse == 0 && len(s.waiting) == 0 {
		close(s.idle)
	}
}

func (s *slots) current() load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return load{InUse: s.inUse, Queued: len(s.waiting), Draining: s.draining}
}
