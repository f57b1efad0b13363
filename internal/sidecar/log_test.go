package sidecar

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log that grows with the load: lines of a kind are bounded in
// each second, and what was left out is counted.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewLog(&out)
	now := time.Unix(1000, 0)
	for range 10 * linesPerKind {
		l.Line(now, "gate.rejected")
	}
	l.Line(now.Add(time.Second), "gate.rejected")
	l.Close(context.Background())
	is.Equal(strings.Count(out.String(), `"msg":"gate.rejected"`), linesPerKind+1)
	is.Equal(l.Dropped(), int64(9*linesPerKind))
	is.True(strings.Contains(out.String(), `"kind":"gate.rejected","lines":360`))
}

// stuckWriter never returns from Write.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that wait for a log that nobody reads.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := stuckWriter{make(chan struct{})}
	l := NewLog(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * logQueue {
			l.Event("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the log blocks")
	}
	is.True(l.Dropped() > 0)
	close(w.release)
	l.Close(context.Background())
}

// Guards against a process that panics at its end, because a request which the stop
// has cut writes a line after the last one.
func TestLineAfterTheEndIsDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewLog(&out)
	l.Event("first")
	l.Close(t.Context())
	l.Event("late")
	is.True(strings.Contains(out.String(), "first"))
	is.True(!strings.Contains(out.String(), "late"))
}
