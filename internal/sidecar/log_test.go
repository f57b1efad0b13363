package sidecar

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log volume that grows with the load. The lines of a kind are limited
// in each second, and dropped lines are counted.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewLog(&out)
	now := time.Unix(1000, 0)
	for range 10 * maxLinesPerKind {
		l.Line(now, "gate.rejected")
	}
	l.Line(now.Add(time.Second), "gate.rejected")
	l.Close(context.Background())
	is.Equal(strings.Count(out.String(), `"msg":"gate.rejected"`), maxLinesPerKind+1)
	is.Equal(l.Dropped(), int64(9*maxLinesPerKind))
	is.True(strings.Contains(out.String(), `"kind":"gate.rejected","lines":360`))
}

// blockingWriter blocks in Write until release is closed, and counts the bytes.
type blockingWriter struct {
	release chan struct{}
	bytes   *int
}

func (w blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	*w.bytes += len(p)
	return len(p), nil
}

// Guards against requests that block because the output of the log is not read.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := blockingWriter{make(chan struct{}), new(int)}
	l := NewLog(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * logQueueLen {
			l.Event("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Event blocks while the log output is not read")
	}
	is.True(l.Dropped() > 0)
	close(w.release)
	l.Close(context.Background())
}

// Guards against lines with texts of clients, such as an identity that fills a head, that
// exhaust the memory while they wait for the output. A byte outside of UTF-8 takes six in JSON.
func TestLongTextsTakeLittleMemory(t *testing.T) {
	is := is.New(t)
	w := blockingWriter{make(chan struct{}), new(int)}
	l := NewLog(w)
	for range 2 * logQueueLen {
		l.Event("call.done", "request", strings.Repeat("\xe9", 16<<10), "error", strings.Repeat("x", 16<<10))
	}
	close(w.release)
	l.Close(t.Context())
	is.True(*w.bytes > 0)
	is.True(*w.bytes <= 2<<20) // what is being written, and the queue
}

// Guards against a panic at the end of the process: a request that is cut off by the stop
// may write a line after the log has been closed.
func TestLineAfterCloseIsDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewLog(&out)
	l.Event("first")
	l.Close(t.Context())
	l.Event("late")
	is.True(strings.Contains(out.String(), "first"))
	is.True(!strings.Contains(out.String(), "late"))
}
