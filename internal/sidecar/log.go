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
	// maxLinesPerKind bounds the lines of one kind in each second. More lines add
	// nothing to the diagnosis of a fault and cost CPU time when it is scarcest.
	maxLinesPerKind = 40
	// maxCallLines replaces maxLinesPerKind for the kinds of lines about the end of a
	// request, which are needed to follow up a user's complaint.
	maxCallLines = 150
	// logQueueLen and logQueueBytes bound the lines that wait to be written to the output.
	logQueueLen   = 512
	logQueueBytes = 1 << 20
	// maxAttrBytes bounds a text in a line. Clients choose some of them, such as the
	// identity of a request, which may be as long as a head.
	maxAttrBytes = 256
)

// callKindPrefix is the prefix of the kinds of lines about the end of a request.
const callKindPrefix = "call."

// Log writes structured log lines without ever blocking its callers. Lines beyond the
// limit of their kind, and lines for which the queue has no room, are dropped and
// counted.
type Log struct {
	logger  *slog.Logger
	queue   *lineQueue
	dropped atomic.Int64

	mu      sync.Mutex
	second  int64          // Unix time of the current second
	counts  map[string]int // lines requested in the current second, by kind
	omitted map[string]int // lines dropped by the limit in the current second, by kind
}

// NewLog returns a log that writes JSON lines to w. Close flushes the queue.
func NewLog(w io.Writer) *Log {
	l := &Log{counts: make(map[string]int), omitted: make(map[string]int)}
	l.queue = newLineQueue(w, &l.dropped)
	l.logger = slog.New(slog.NewJSONHandler(l.queue, &slog.HandlerOptions{ReplaceAttr: shortenText}))
	return l
}

// shortenText cuts a text after maxAttrBytes and marks that with an ellipsis.
func shortenText(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() != slog.KindString || len(a.Value.String()) <= maxAttrBytes {
		return a
	}
	return slog.String(a.Key, a.Value.String()[:maxAttrBytes]+"…")
}

// With adds attributes to all further lines.
func (l *Log) With(attrs ...any) { l.logger = l.logger.With(attrs...) }

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Event writes a line without the limit of its kind. It is meant for rare events such
// as start, stop, reload, and lost or regained dependencies.
func (l *Log) Event(kind string, attrs ...any) { l.logger.Info(kind, attrs...) }

// Records writes the log lines that are effects of the reducer.
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

// admit counts a line of a kind and reports whether the kind is within its limit. At
// the first line of each second it logs how many lines were dropped before.
func (l *Log) admit(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		for omittedKind, lines := range l.omitted {
			l.logger.Info("log.left_out", "kind", omittedKind, "lines", lines)
		}
		clear(l.omitted)
		clear(l.counts)
	}
	l.counts[kind]++
	limit := maxLinesPerKind
	if strings.HasPrefix(kind, callKindPrefix) {
		limit = maxCallLines
	}
	if l.counts[kind] <= limit {
		return true
	}
	l.omitted[kind]++
	l.dropped.Add(1)
	return false
}

// Close writes the queued lines and waits for that until ctx ends.
func (l *Log) Close(ctx context.Context) { l.queue.close(ctx) }

// lineQueue is an io.Writer that passes lines to a goroutine, which writes them. Requests
// that are cut off by a stop may still write lines after close; these are dropped.
type lineQueue struct {
	out     io.Writer
	lines   chan []byte   // the queue
	queued  atomic.Int64  // bytes in the queue
	quit    chan struct{} // closed to end run
	done    chan struct{} // closed when run has ended
	dropped *atomic.Int64
}

func newLineQueue(out io.Writer, dropped *atomic.Int64) *lineQueue {
	q := &lineQueue{
		out: out, lines: make(chan []byte, logQueueLen), quit: make(chan struct{}), done: make(chan struct{}), dropped: dropped,
	}
	go q.run()
	return q
}

// Write implements io.Writer. It never blocks.
func (q *lineQueue) Write(p []byte) (int, error) {
	size := int64(len(p))
	if q.queued.Add(size) <= logQueueBytes {
		select {
		case q.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	q.queued.Add(-size)
	q.dropped.Add(1)
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

// write writes a line and all queued ones with one call.
func (q *lineQueue) write(lines []byte) {
	for range len(q.lines) {
		lines = append(lines, <-q.lines...)
	}
	q.queued.Add(-int64(len(lines)))
	if _, err := q.out.Write(lines); err != nil {
		q.dropped.Add(1) // a failure of the log output can be reported nowhere else
	}
}

func (q *lineQueue) close(ctx context.Context) {
	close(q.quit)
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}
