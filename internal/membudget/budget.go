// Package membudget bounds the total memory of the request and response bodies that
// are in progress. It protects hosts with as little as 184 MB of memory from backend
// servers and callers that send without end.
package membudget

import (
	"errors"
	"io"
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
	freed   chan struct{} // closed and replaced when bytes return to the budget
}

// New returns a budget of the given number of bytes.
func New(bytes int) *Budget { return &Budget{free: bytes, freed: make(chan struct{})} }

// SetReclaim sets a function that is called when the budget is exhausted. It makes a
// holder of memory that progresses too slowly release it soon, and reports false if there
// is none. It must be set before the budget is used.
func (b *Budget) SetReclaim(reclaim func() bool) { b.reclaim = reclaim }

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
		size := min(max(2*cap(b.data), initialBufferBytes), b.maxBytes)
		if !b.reserve(size) {
			return nil, ErrExhausted
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
func (b *Buffer) reserve(bytes int) bool {
	if b.budget == nil || bytes <= maxUncountedBytes {
		return true
	}
	for range maxReclaims {
		reserved, freed := b.tryReserve(bytes)
		if reserved || b.budget.reclaim == nil || !b.budget.reclaim() {
			return reserved
		}
		select {
		case <-freed:
		case <-time.After(reclaimWait):
		}
	}
	reserved, _ := b.tryReserve(bytes)
	return reserved
}

// tryReserve reserves bytes if the budget allows it. The channel is closed when bytes
// return to the budget later.
func (b *Buffer) tryReserve(bytes int) (reserved bool, freed <-chan struct{}) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	extra := bytes - b.reserved
	if b.released || bytes > b.budget.free-extra {
		return false, b.budget.freed
	}
	b.budget.free -= extra
	b.reserved = bytes
	return true, nil
}

// HoldsBudget reports whether the buffer has bytes of the budget reserved.
func (b *Buffer) HoldsBudget() bool {
	if b.budget == nil {
		return false
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.reserved > 0
}

// Release returns the reserved bytes to the budget. After that the buffer can't grow
// beyond maxUncountedBytes.
func (b *Buffer) Release() {
	if b.budget == nil {
		return
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.free += b.reserved
	if b.reserved > 0 {
		close(b.budget.freed)
		b.budget.freed = make(chan struct{})
	}
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
