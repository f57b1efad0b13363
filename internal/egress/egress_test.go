package egress

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func flush() error { return nil }

// Guards against large answers that saturate the link. They must stay below its rate
// and arrive undamaged.
func TestLargeAnswersStayBelowTheRate(t *testing.T) {
	is := is.New(t)
	l := NewLink(8)
	body := bytes.Repeat([]byte("x1"), 40<<10)
	began := time.Now()
	var wg sync.WaitGroup
	var outs [2]bytes.Buffer
	for i := range outs {
		wg.Go(func() { is.NoErr(l.Send(context.Background(), &outs[i], NewBytes(body), flush)) })
	}
	wg.Wait()
	// Nothing waits after the last piece, and pauses may end somewhat early.
	least := time.Duration(0.9 * float64(len(outs)*len(body)) / l.rate * float64(time.Second))
	is.True(time.Since(began) >= least)
	for i := range outs {
		is.Equal(outs[i].Bytes(), body)
	}
	is.Equal(l.Backlog() < 20*time.Millisecond, true)
}

// Guards against a small answer that waits behind a large one, and against a large
// answer that waits behind a larger one.
func TestSmallerAnswersGoFirst(t *testing.T) {
	is := is.New(t)
	l := NewLink(8)
	var mu sync.Mutex
	var order []int
	var wg sync.WaitGroup
	start := make(chan struct{})
	for _, size := range []int{400 << 10, 30 << 10} {
		wg.Go(func() {
			if size == 30<<10 {
				<-start
			}
			var out bytes.Buffer
			is.NoErr(l.Send(context.Background(), &out, NewBytes(make([]byte, size)), flush))
			mu.Lock()
			order = append(order, size)
			mu.Unlock()
		})
	}
	for l.Backlog() == 0 {
		time.Sleep(time.Millisecond) // until the first answer is being sent
	}
	began := time.Now()
	is.NoErr(l.Send(context.Background(), &bytes.Buffer{}, NewBytes(make([]byte, 1000)), flush))
	is.True(time.Since(began) < 50*time.Millisecond)
	close(start)
	wg.Wait()
	is.Equal(order, []int{30 << 10, 400 << 10})
}

// Guards against an answer whose client has gone and which keeps the turn, so that no
// other answer is sent.
func TestCancelledAnswerPassesTheTurnOn(t *testing.T) {
	is := is.New(t)
	l := NewLink(1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { _ = l.Send(ctx, &bytes.Buffer{}, NewBytes(make([]byte, 1<<20)), flush) })
	}
	for l.Backlog() == 0 {
		time.Sleep(time.Millisecond) // until the answers wait
	}
	cancel()
	wg.Wait()
	done := make(chan error, 1)
	go func() {
		done <- l.Send(context.Background(), &bytes.Buffer{}, NewBytes(make([]byte, LargeBytes)), flush)
	}()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("a later answer was not sent within 5 s: cancelled answers keep the turn")
	}
}

// blockedWriter blocks until it is released, like a connection whose client doesn't read.
type blockedWriter struct{ released chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// Guards against a client that asks for a large answer and doesn't read it: no other large
// answer was sent until its connection failed.
func TestClientThatDoesNotReadLosesItsTurn(t *testing.T) {
	is := is.New(t)
	l := NewLink(10)
	blocked := &blockedWriter{released: make(chan struct{})}
	content := make([]byte, 2*LargeBytes)
	done := make(chan error, 1)
	go func() {
		done <- l.Send(t.Context(), blocked, NewBytes(content), func() error { return nil })
	}()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) { // nothing signals that the send has begun
		l.mu.Lock()
		sending := l.sending
		l.mu.Unlock()
		if sending || time.Now().After(deadline) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(l.Send(ctx, io.Discard, NewBytes(content), func() error { return nil }))
	close(blocked.released)
	is.NoErr(<-done)
	is.NoErr(l.Send(ctx, io.Discard, NewBytes(content), func() error { return nil }))
	is.True(!l.sending)
}
