package sidecar

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

const (
	// linesPerKind bounds the lines of one kind in each second. More than that
	// tells no more about a fault and costs processor time when it is scarcest.
	linesPerKind = 40
	// callLines is the same for the ends of requests, which answer a user's
	// complaint.
	callLines = 150
	// logQueue bounds the lines that wait for the output.
	logQueue = 512
)

// callPrefix starts the kinds of lines about the end of a request.
const callPrefix = "call."

// Log writes structured lines without ever blocking its callers. Lines over the
// limit of their kind, and those that find the queue full, are counted and
// dropped.
type Log struct {
	logger  *slog.Logger
	queue   *lineQueue
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	counts map[string]int
	left   map[string]int // lines left out in the present second, by kind
}

// NewLog returns a log that writes JSON lines to w. Close flushes it.
func NewLog(w io.Writer) *Log {
	l := &Log{counts: make(map[string]int), left: make(map[string]int)}
	l.queue = newLineQueue(w, &l.dropped)
	l.logger = slog.New(slog.NewJSONHandler(l.queue, nil))
	return l
}

// With returns the underlying logger with attributes for all further lines.
func (l *Log) With(attrs ...any) { l.logger = l.logger.With(attrs...) }

// Dropped returns the number of lines that were left out.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Event writes a line that is never left out by the limit of its kind: start,
// stop, reload, and lost or regained dependencies.
func (l *Log) Event(kind string, attrs ...any) { l.logger.Info(kind, attrs...) }

// Records writes the reducer's lines.
func (l *Log) Records(now time.Time, records []proxy.LogRecord) {
	for i := range records {
		l.Line(now, records[i].Kind, records[i].Attrs...)
	}
}

// Line writes a line unless its kind has reached its limit.
func (l *Log) Line(now time.Time, kind string, attrs ...any) {
	if l.admit(now, kind) {
		l.logger.Info(kind, attrs...)
	}
}

func (l *Log) admit(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		for name, n := range l.left {
			l.logger.Info("log.left_out", "kind", name, "lines", n)
		}
		clear(l.left)
		clear(l.counts)
	}
	l.counts[kind]++
	limit := linesPerKind
	if strings.HasPrefix(kind, callPrefix) {
		limit = callLines
	}
	if l.counts[kind] <= limit {
		return true
	}
	l.left[kind]++
	l.dropped.Add(1)
	return false
}

// Close writes the waiting lines.
func (l *Log) Close(ctx context.Context) { l.queue.close(ctx) }

// lineQueue is a writer that hands its lines to another goroutine. Lines may still
// come after its end, from requests that a stop has cut; they are dropped.
type lineQueue struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped *atomic.Int64
}

func newLineQueue(out io.Writer, dropped *atomic.Int64) *lineQueue {
	q := &lineQueue{
		out: out, lines: make(chan []byte, logQueue), quit: make(chan struct{}), done: make(chan struct{}), dropped: dropped,
	}
	go q.run()
	return q
}

// Write implements io.Writer. It never blocks.
func (q *lineQueue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

func (q *lineQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.quit:
			if len(q.lines) > 0 {
				q.write(nil)
			}
			return
		}
	}
}

// write writes a line and all waiting ones with one call.
func (q *lineQueue) write(line []byte) {
	for range len(q.lines) {
		line = append(line, <-q.lines...)
	}
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1) // there is no other place to report it
	}
}

func (q *lineQueue) close(ctx context.Context) {
	close(q.quit)
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}
