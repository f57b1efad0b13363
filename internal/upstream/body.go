package upstream

import (
	"errors"
	"io"
	"sync"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

// Body is the content of a large answer while it arrives. Its bytes are read as
// fast as they come, so that a slow receiver never holds up the server.
type Body struct {
	mu      sync.Mutex
	arrived sync.Cond
	buffer  *membudget.Buffer
	size    int
	taken   int
	err     error
}

func newBody(size int, m *membudget.Budget) *Body {
	b := &Body{size: size, buffer: m.NewBuffer(size)}
	b.arrived.L = &b.mu
	return b
}

// Len returns the number of bytes that are not taken yet, received or not.
func (b *Body) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size - b.taken
}

// Next waits for the next bytes, at most the given number and fewer only at the
// end, and returns them.
func (b *Body) Next(most int) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := min(b.taken+most, b.size)
	for len(b.buffer.Bytes()) < end && b.err == nil {
		b.arrived.Wait()
	}
	if len(b.buffer.Bytes()) < end {
		return nil, b.err
	}
	piece := b.buffer.Bytes()[b.taken:end]
	b.taken = end
	return piece, nil
}

// fill reads the content until it is complete.
func (b *Body) fill(r io.Reader) error {
	for {
		b.mu.Lock()
		rest, err := b.buffer.Room()
		b.mu.Unlock()
		if err != nil || len(rest) == 0 {
			return err
		}
		n, err := r.Read(rest)
		b.mu.Lock()
		b.buffer.Received(n)
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

// fail ends a body whose bytes stop coming.
func (b *Body) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.arrived.Broadcast()
}
