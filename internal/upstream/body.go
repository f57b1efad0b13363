package upstream

import (
	"errors"
	"io"
	"sync"
)

// Body is the content of a large answer while it arrives. Its bytes are read as
// fast as they come, so that a slow receiver never holds up the server.
type Body struct {
	mu      sync.Mutex
	arrived sync.Cond
	data    []byte // whole size; the first received bytes are valid
	got     int
	taken   int
	err     error
}

func newBody(size int) *Body {
	b := &Body{data: make([]byte, size)}
	b.arrived.L = &b.mu
	return b
}

// Len returns the number of bytes that are not taken yet, received or not.
func (b *Body) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data) - b.taken
}

// Next waits for the next bytes, at most the given number and fewer only at the
// end, and returns them.
func (b *Body) Next(most int) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := min(b.taken+most, len(b.data))
	for b.got < end && b.err == nil {
		b.arrived.Wait()
	}
	if b.got < end {
		return nil, b.err
	}
	piece := b.data[b.taken:end]
	b.taken = end
	return piece, nil
}

// fill reads the content until it is complete.
func (b *Body) fill(r io.Reader) error {
	for {
		b.mu.Lock()
		rest := b.data[b.got:]
		b.mu.Unlock()
		if len(rest) == 0 {
			return nil
		}
		n, err := r.Read(rest)
		b.mu.Lock()
		b.got += n
		complete := b.got == len(b.data)
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
