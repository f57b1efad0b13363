package upstream

import (
	"errors"
	"io"
	"sync"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

// Body is the content of a streamed response while it arrives. The pool reads it
// from the connection as fast as the server sends, however slowly the caller
// consumes it, so that a slow caller never delays the server.
type Body struct {
	mu       sync.Mutex
	arrived  sync.Cond // signals new bytes or err
	buffer   *membudget.Buffer
	size     int
	consumed int   // bytes returned by Next
	err      error // why the rest of the content will not arrive
}

func newBody(size int, budget *membudget.Budget) *Body {
	b := &Body{size: size, buffer: budget.NewBuffer(size)}
	b.arrived.L = &b.mu
	return b
}

// Len returns the number of bytes that Next has not returned yet, received or not.
func (b *Body) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size - b.consumed
}

// Next waits for the next maxBytes bytes of the content and returns them. It
// returns fewer only at the end of the content.
func (b *Body) Next(maxBytes int) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := min(b.consumed+maxBytes, b.size)
	for len(b.buffer.Bytes()) < end && b.err == nil {
		b.arrived.Wait()
	}
	if len(b.buffer.Bytes()) < end {
		return nil, b.err
	}
	piece := b.buffer.Bytes()[b.consumed:end]
	b.consumed = end
	return piece, nil
}

// fill reads the content from r until it is complete.
func (b *Body) fill(r io.Reader) error {
	for {
		b.mu.Lock()
		space, err := b.buffer.FreeSpace()
		b.mu.Unlock()
		if err != nil || len(space) == 0 {
			return err
		}
		n, err := r.Read(space)
		b.mu.Lock()
		b.buffer.Advance(n)
		complete := len(b.buffer.Bytes()) == b.size
		b.arrived.Broadcast()
		b.mu.Unlock()
		switch {
		case complete:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// fail records why the content ends early, and wakes the waiting Next.
func (b *Body) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.arrived.Broadcast()
}
