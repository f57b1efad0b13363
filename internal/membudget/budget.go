// Package membudget bounds the memory that requests and answers in progress take
// together. It answers the load of backend servers and callers that send without
// end to hosts with as little as 184 MB.
package membudget

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted means that the contents in progress hold too much memory for
// another one of this size.
var ErrExhausted = errors.New("requests and answers in progress hold too much memory")

// ErrTooLong means that a content is longer than it may be.
var ErrTooLong = errors.New("content exceeds its limit")

const (
	// uncountedBytes is the size up to which a content doesn't count. A thousand
	// such contents hold 16 MB.
	uncountedBytes = 16 << 10
	// firstBytes is the initial size of a buffer whose content may be longer.
	firstBytes = 4 << 10
)

// Budget is the memory of a process for contents in progress. One content may
// hold no more than what stays free: however many endless ones arrive together,
// each is ended while there is room for ordinary ones. It is safe for concurrent
// use, and a nil Budget has no bound.
type Budget struct {
	mu   sync.Mutex
	free int
}

// New returns a budget of the given number of bytes.
func New(bytes int) *Budget { return &Budget{free: bytes} }

// Free returns the number of bytes that no content holds.
func (b *Budget) Free() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Buffer collects a content and grows as its bytes arrive, so that a stated
// length alone takes no memory. Release gives its memory back and may be called
// by another goroutine; nothing else may.
type Buffer struct {
	budget *Budget
	most   int
	data   []byte

	// Guarded by the budget.
	held     int
	released bool
}

// NewBuffer returns an empty buffer for a content of at most the given length.
func (b *Budget) NewBuffer(most int) *Buffer { return &Buffer{budget: b, most: most} }

// Bytes returns what has been received.
func (b *Buffer) Bytes() []byte { return b.data }

// Room returns the space for the next bytes. It is empty once the content has
// reached its bound.
func (b *Buffer) Room() ([]byte, error) {
	if len(b.data) == cap(b.data) && len(b.data) < b.most {
		size := min(max(2*cap(b.data), firstBytes), b.most)
		if !b.extend(size) {
			return nil, ErrExhausted
		}
		grown := make([]byte, len(b.data), size)
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[len(b.data):min(cap(b.data), b.most)], nil
}

// Received counts bytes that were read into the room.
func (b *Buffer) Received(n int) { b.data = b.data[:len(b.data)+n] }

// extend makes the buffer hold the given number of bytes and reports whether it
// may.
func (b *Buffer) extend(bytes int) bool {
	if b.budget == nil || bytes <= uncountedBytes {
		return true
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	more := bytes - b.held
	if b.released || bytes > b.budget.free-more {
		return false
	}
	b.budget.free -= more
	b.held = bytes
	return true
}

// Counted reports whether the buffer holds memory of the budget.
func (b *Buffer) Counted() bool {
	if b.budget == nil {
		return false
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.held > 0
}

// Release gives the memory back. The buffer can't grow any more.
func (b *Buffer) Release() {
	if b.budget == nil {
		return
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.free += b.held
	b.held, b.released = 0, true
}

// ReadAll reads a content of at most the given length to its end. The buffer is
// released on errors.
func (b *Budget) ReadAll(r io.Reader, most int) (*Buffer, error) {
	content := b.NewBuffer(most + 1)
	for {
		room, err := content.Room()
		if err == nil && len(room) == 0 {
			err = ErrTooLong
		}
		n := 0
		if err == nil {
			n, err = r.Read(room)
			content.Received(n)
		}
		switch {
		case errors.Is(err, io.EOF) && len(content.data) <= most:
			return content, nil
		case err != nil:
			content.Release()
			return nil, err
		}
	}
}
