// Package egress shares a host's link between the answers that the host sends. On a
// link of 10 Mbit/s, a small answer would wait for a tenth of a second behind each
// download of hundreds of kilobytes. So large answers are paced below the link's rate,
// the one with the fewest bytes left first, and small ones are sent at once.
package egress

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// LargeBytes is the size from which an answer is paced, and forwarded while the
	// rest of it still arrives.
	LargeBytes = 12 << 10
	// pieceBytes is the size of the pieces in which an answer is sent.
	pieceBytes = 8 << 10
	// largeAnswerFraction is the fraction of the link's rate that large answers may use.
	largeAnswerFraction = 0.9
	// minPause is the shortest pause worth a timer. Shorter ones are skipped and
	// accumulate in Link.idleAt.
	minPause = 2 * time.Millisecond
	// maxWriteTime is the time after which a piece whose client doesn't read it loses its
	// turn. A piece takes 8 ms on a link of 10 Mbit/s.
	maxWriteTime = 40 * time.Millisecond
)

// Link paces the large answers of one host. It is safe for concurrent use.
type Link struct {
	rate float64 // of large answers, in bytes per second; zero for no limit

	mu      sync.Mutex
	idleAt  time.Time // time at which the link will have sent all pieces written so far
	sending bool      // an answer has the turn
	waiting []*answer // for the turn
}

// answer is an answer that is being sent.
type answer struct {
	left int           // bytes not yet sent
	turn chan struct{} // receives when the answer may send its next piece
}

// NewLink returns a link of the given bandwidth in Mbit/s. Zero stands for no limit.
func NewLink(mbps int) *Link { return &Link{rate: largeAnswerFraction * float64(mbps) * 1e6 / 8} }

// Large reports whether an answer of the given size is paced.
func Large(bytes int) bool { return bytes >= LargeBytes }

// Content is the body of an answer, read in pieces.
type Content interface {
	// Len returns the number of bytes that Next has not returned yet.
	Len() int
	// Next returns the next bytes, at most the given number. It blocks until they
	// have arrived.
	Next(most int) ([]byte, error)
}

// Bytes is Content that is wholly in memory.
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

// Send writes an answer to w, paced if it is large. flush must send the bytes that w
// buffers. An answer whose next bytes have not arrived yet does not hold the turn, so
// that others can use the link.
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

// sendPiece waits for the answer's turn and writes one piece of it. A client that doesn't
// read must not keep the link from the others, so the turn is passed on if the write
// takes too long.
func (l *Link) sendPiece(ctx context.Context, w io.Writer, a *answer, piece []byte, flush func() error) error {
	if err := l.awaitTurn(ctx, a); err != nil {
		return err
	}
	passed := time.AfterFunc(maxWriteTime, l.passTurn)
	_, err := w.Write(piece)
	if err == nil {
		err = flush()
	}
	if passed.Stop() {
		l.finishPiece(ctx, len(piece))
	}
	return err
}

// awaitTurn returns when it is the answer's turn, or with an error when ctx ends.
func (l *Link) awaitTurn(ctx context.Context, a *answer) error {
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
	if at < 0 { // passTurn has chosen this answer meanwhile
		l.passTurn()
	}
	return ctx.Err()
}

// finishPiece accounts for a written piece and passes the turn on once the link has had
// the time to send it.
func (l *Link) finishPiece(ctx context.Context, bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	pause := l.idleAt.Sub(now)
	l.mu.Unlock()
	if pause >= minPause {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	l.passTurn()
}

// passTurn gives the turn to the waiting answer with the fewest bytes left.
func (l *Link) passTurn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.sending = false
		return
	}
	shortest := 0
	for i, a := range l.waiting {
		if a.left < l.waiting[shortest].left {
			shortest = i
		}
	}
	a := l.waiting[shortest]
	l.waiting = slices.Delete(l.waiting, shortest, shortest+1)
	a.turn <- struct{}{}
}

// Backlog returns the time that the link needs for the pieces written so far and for
// the answers that wait for their turn.
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
	return max(time.Until(l.idleAt), 0) + time.Duration(float64(bytes)/l.rate*float64(time.Second))
}
