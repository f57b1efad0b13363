// Package egress shares a host's link between answers. It answers the load of
// downloads of hundreds of kilobytes over links of 10 Mbit/s, on which a small
// answer otherwise waits for a tenth of a second behind each of them: large
// answers are sent below the link's rate, the one with the least left first, and
// small ones pass them.
package egress

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// LargeBytes is the size from which an answer is paced, and passed on while it
	// arrives.
	LargeBytes = 12 << 10
	// pieceBytes is the size of the pieces of a large answer.
	pieceBytes = 8 << 10
	// linkPart is the part of the link's rate for large answers.
	linkPart = 0.9
	// leastPause is the shortest pause worth a timer. Shorter ones add up.
	leastPause = 2 * time.Millisecond
)

// Link paces the large answers of one host. It is safe for concurrent use.
type Link struct {
	rate float64 // bytes a second, zero for no limit

	mu      sync.Mutex
	free    time.Time // the link has sent all pieces so far
	sending bool
	waiting []*answer
}

// answer is a large answer that is being sent.
type answer struct {
	left int
	turn chan struct{}
}

// NewLink returns a link of the given bandwidth; zero stands for no limit.
func NewLink(mbps int) *Link { return &Link{rate: linkPart * float64(mbps) * 1e6 / 8} }

// Large reports whether an answer of the given size is paced.
func Large(bytes int) bool { return bytes >= LargeBytes }

// Content is what an answer consists of.
type Content interface {
	// Len returns the number of bytes that are left.
	Len() int
	// Next returns the next bytes, at most the given number, and waits for them if
	// they have not arrived yet.
	Next(most int) ([]byte, error)
}

// Bytes is content that is there as a whole.
type Bytes struct{ left []byte }

// NewBytes returns the content of the given bytes.
func NewBytes(b []byte) *Bytes { return &Bytes{left: b} }

// Len implements Content.
func (b *Bytes) Len() int { return len(b.left) }

// Next implements Content.
func (b *Bytes) Next(most int) ([]byte, error) {
	piece := b.left[:min(most, len(b.left))]
	b.left = b.left[len(piece):]
	return piece, nil
}

// Send writes an answer. flush sends what was written. An answer that waits for
// its own bytes leaves the link to others.
func (l *Link) Send(ctx context.Context, w io.Writer, c Content, flush func() error) error {
	a := &answer{left: c.Len(), turn: make(chan struct{}, 1)}
	paced := l.rate > 0 && Large(a.left)
	for a.left > 0 {
		piece, err := c.Next(pieceBytes)
		if err != nil {
			return err
		}
		if paced {
			err = l.sendPiece(ctx, w, a, piece, flush)
		} else {
			_, err = w.Write(piece)
		}
		if err != nil {
			return err
		}
		a.left -= len(piece)
	}
	return nil
}

// sendPiece writes a piece of a large answer when it is its turn.
func (l *Link) sendPiece(ctx context.Context, w io.Writer, a *answer, piece []byte, flush func() error) error {
	if err := l.await(ctx, a); err != nil {
		return err
	}
	_, err := w.Write(piece)
	if err == nil {
		err = flush()
	}
	l.sent(ctx, len(piece))
	return err
}

// await returns when it is the answer's turn.
func (l *Link) await(ctx context.Context, a *answer) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.mu.Lock()
	if !l.sending {
		l.sending = true
		l.mu.Unlock()
		return nil
	}
	l.waiting = append(l.waiting, a)
	l.mu.Unlock()
	select {
	case <-a.turn:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	at := slices.Index(l.waiting, a)
	if at >= 0 {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
	l.mu.Unlock()
	if at < 0 { // the turn has come meanwhile
		l.next()
	}
	return ctx.Err()
}

// sent accounts for a piece and passes the turn on once the link is free.
func (l *Link) sent(ctx context.Context, bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	pause := l.free.Sub(now)
	l.mu.Unlock()
	if pause >= leastPause {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	l.next()
}

// next gives the turn to the waiting answer with the least left.
func (l *Link) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.sending = false
		return
	}
	best := 0
	for i, a := range l.waiting {
		if a.left < l.waiting[best].left {
			best = i
		}
	}
	a := l.waiting[best]
	l.waiting = slices.Delete(l.waiting, best, best+1)
	a.turn <- struct{}{}
}

// Backlog returns the time that the waiting large answers take on the link.
func (l *Link) Backlog() time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := 0
	for _, a := range l.waiting {
		bytes += a.left
	}
	return max(time.Until(l.free), 0) + time.Duration(float64(bytes)/l.rate*float64(time.Second))
}
