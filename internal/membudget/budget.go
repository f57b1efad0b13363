// Package membudget bounds the total memory of the request and response bodies that
// are in progress. It protects hosts with as little as 184 MB of memory from backend
// servers and callers that send without end.
package membudget

import (
	"errors"
	"io"
	"runtime"
	"sync"
	"time"
)

// ErrExhausted means that the bodies in progress hold too much memory for another one
// of this size.
var ErrExhausted = errors.New("request and response bodies in progress hold too much memory")

// ErrTooLong means that a body is longer than allowed.
var ErrTooLong = errors.New("body exceeds its size limit")

const (
	// maxUncountedBytes is the buffer size up to which a body is not charged to the
	// budget. A thousand such bodies hold 16 MB.
	maxUncountedBytes = 16 << 10
	// initialBufferBytes is the initial size of a buffer, unless its bound is smaller.
	initialBufferBytes = 4 << 10
)

// Budget is the memory of a process for bodies in progress. A buffer may not become
// larger than the memory that remains free afterwards. So however many endless bodies
// arrive at once, each is aborted while there is still memory for bodies of ordinary
// size. A Budget is safe for concurrent use, and a nil Budget has no bound.
type Budget struct {
	mu      sync.Mutex
	free    int
	reclaim func() bool
	// large is the size up to which one buffer at a time may grow beyond the rule, zero
	// for none. largeHeld is the buffer that does so.
	large     int
	largeHeld *Buffer
	freed     chan struct{} // closed and replaced when bytes return to the budget
}

// New returns a budget of the given number of bytes.
func New(bytes int) *Budget { return &Budget{free: bytes, freed: make(chan struct{})} }

// SetReclaim sets a function that is called when the budget is exhausted. It makes a
// holder of memory that progresses too slowly release it soon, and reports false if there
// is none. It must be set before the budget is used.
func (b *Budget) SetReclaim(reclaim func() bool) { b.reclaim = reclaim }

// AllowLarge lets one buffer at a time grow to the given number of bytes, outside the
// budget. Without it, a body of more than half the budget is never accepted, even if it
// is the only one. It must be called before the budget is used.
func (b *Budget) AllowLarge(bytes int) { b.large = bytes }

const (
	// maxReclaims bounds the holders that are made to release memory for one reservation.
	maxReclaims = 8
	// reclaimWait bounds the wait until such a holder has released its memory. It has only
	// to notice that its connection is closed.
	reclaimWait = 50 * time.Millisecond
)

// Free returns the number of bytes that are not reserved by buffers.
func (b *Budget) Free() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Buffer collects a body and grows as its bytes arrive, so that a stated length alone
// reserves no memory. Its methods are for one goroutine, except that Release may be
// called from another one.
type Buffer struct {
	budget   *Budget
	maxBytes int
	data     []byte

	// Guarded by budget.mu.
	reserved int // bytes charged to the budget
	released bool
}

// NewBuffer returns an empty buffer for a body of at most maxBytes bytes.
func (b *Budget) NewBuffer(maxBytes int) *Buffer { return &Buffer{budget: b, maxBytes: maxBytes} }

// Bytes returns the bytes received so far.
func (b *Buffer) Bytes() []byte { return b.data }

// FreeSpace returns the space into which the next bytes are to be read, and grows the
// buffer if it is full. The space is empty once the body has reached maxBytes.
func (b *Buffer) FreeSpace() ([]byte, error) {
	if len(b.data) == cap(b.data) && len(b.data) < b.maxBytes {
		wanted := min(max(2*cap(b.data), initialBufferBytes), b.maxBytes)
		size, ok := b.reserve(wanted)
		if !ok {
			return nil, ErrExhausted
		}
		if size > wanted {
			runtime.GC() // the previous large buffer may still be in memory, and there is no room for two
		}
		grown := make([]byte, len(b.data), size)
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[len(b.data):min(cap(b.data), b.maxBytes)], nil
}

// Advance records that n bytes were read into the slice that FreeSpace returned.
func (b *Buffer) Advance(n int) { b.data = b.data[:len(b.data)+n] }

// reserve raises the reservation of the buffer to the given number of bytes and reports
// whether the budget allows it. If the budget is exhausted, it lets others release memory.
// The size that it returns is larger for a buffer that takes the place of the large one:
// such a buffer grows only once, because every growth needs memory for two copies.
func (b *Buffer) reserve(bytes int) (size int, ok bool) {
	if b.budget == nil || bytes <= maxUncountedBytes {
		return bytes, true
	}
	for range maxReclaims {
		size, freed := b.tryReserve(bytes)
		if size > 0 || b.budget.reclaim == nil || !b.budget.reclaim() {
			return size, size > 0
		}
		select {
		case <-freed:
		case <-time.After(reclaimWait):
		}
	}
	size, _ = b.tryReserve(bytes)
	return size, size > 0
}

// tryReserve reserves at least the given number of bytes and returns how many, zero if
// the budget doesn't allow it. The channel is closed when bytes return to the budget
// later.
func (b *Buffer) tryReserve(bytes int) (size int, freed <-chan struct{}) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	extra := bytes - b.reserved
	switch {
	case b.released:
		return 0, b.budget.freed
	case bytes <= b.budget.free-extra:
		b.budget.free -= extra
		b.reserved = bytes
		return bytes, nil
	case b.budget.largeHeld == nil && b.maxBytes <= b.budget.large:
		b.budget.largeHeld = b
		b.budget.returnLocked(b.reserved)
		b.reserved = 0
		return b.maxBytes, nil
	}
	return 0, b.budget.freed
}

// returnLocked returns bytes to the budget.
func (b *Budget) returnLocked(bytes int) {
	b.free += bytes
	close(b.freed)
	b.freed = make(chan struct{})
}

// HoldsBudget reports whether the buffer has bytes of the budget reserved.
func (b *Buffer) HoldsBudget() bool {
	if b.budget == nil {
		return false
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.reserved > 0 || b.budget.largeHeld == b
}

// Release returns the reserved bytes to the budget. After that the buffer can't grow
// beyond maxUncountedBytes.
func (b *Buffer) Release() {
	if b.budget == nil {
		return
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.budget.largeHeld == b {
		b.budget.largeHeld = nil
	}
	b.budget.returnLocked(b.reserved)
	b.reserved, b.released = 0, true
}

// ReadAll reads a body of at most maxBytes bytes to its end. The buffer is released on
// errors.
func (b *Budget) ReadAll(r io.Reader, maxBytes int) (*Buffer, error) {
	buffer := b.NewBuffer(maxBytes + 1)
	for {
		space, err := buffer.FreeSpace()
		if err == nil && len(space) == 0 {
			err = ErrTooLong
		}
		n := 0
		if err == nil {
			n, err = r.Read(space)
			buffer.Advance(n)
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer.data) <= maxBytes:
			return buffer, nil
		case err != nil:
			buffer.Release()
			return nil, err
		}
	}
}
