package clientlimit

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	phaseNew     phase = iota // nothing received yet
	phaseHead                 // a head, or a message of a peer, is arriving
	phaseBody                 // the head is complete and the handler reads the body
	phaseRunning              // the request is complete and the client waits
	phaseIdle                 // between requests
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	guard    *Guard
	listener *listener
	address  string // the client's, without the port
	charge   int    // bytes charged to the guard; guarded by guard.mu

	phase      atomic.Int32
	phaseSince atomic.Int64 // ns since processStart; for phaseHead and phaseBody the arrival of the head's first byte
	progressAt atomic.Int64 // ns since processStart; time of the latest byte received or sent
	writing    atomic.Bool  // a Write is in progress
	ended      atomic.Int64 // number of requests that have ended
	// cancel ends the context of the connection's requests. It is set before the first one.
	cancel context.CancelFunc
	// received and sent count the bytes of the latest request and its answer.
	received, sent atomic.Int64

	// The following fields belong to the goroutine that reads heads.
	head      headScanner
	readAhead int // requests in a row that were complete without a Read since the previous one
	sawRead   bool
}

// processStart is the origin of the times of connections. They are monotonic, so that a jump
// of the wall clock closes no connection.
var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

func (c *Conn) setPhase(p phase) {
	now := sinceStart()
	c.phaseSince.Store(now)
	c.progressAt.Store(now)
	c.phase.Store(int32(p))
}

// transferred returns the bytes of the latest request and its answer so far.
func (c *Conn) transferred() int { return int(c.received.Load() + c.sent.Load()) }

// errShed is returned by a connection whose client exceeds a limit.
var errShed = errors.New("the client exceeds a limit")

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.progressAt.Store(sinceStart())
	c.received.Add(int64(n))
	if len(p) == 1 {
		// While a handler runs, net/http reads one byte in the background to notice that
		// the client leaves. Such a read must not touch the state of the next head. Once
		// it has returned a byte of a request sent ahead, net/http notices nothing more.
		if c.cancel != nil {
			go c.awaitDeparture(c.ended.Load())
		}
		return n, err
	}
	c.sawRead = true
	switch phase(c.phase.Load()) {
	case phaseNew, phaseIdle:
		c.setPhase(phaseHead)
		c.received.Store(int64(n))
	case phaseHead:
	default:
		return n, err
	}
	if c.listener.kind == Peers || c.chargeHead(p[:n]) {
		return n, err
	}
	return 0, errShed
}

// minHeaderFields is the number of fields up to which the bound, which takes a lock to
// look up, is not asked for. Ordinary heads have up to some dozens.
const minHeaderFields = 64

// chargeHead charges the part of a head that has arrived. It reports false if the head is
// beyond the limits.
func (c *Conn) chargeHead(p []byte) bool {
	bytes, fields := c.head.scan(p)
	if c.head.fields > minHeaderFields && c.head.fields > c.guard.options.HeaderFields() {
		c.guard.Shed(Fields)
		return false
	}
	if c.listener.kind == Control { // the server reports no end of the head, and keeps the body in memory too
		bytes = len(p)
	}
	return c.guard.charge(c, headBytesFactor*bytes+fieldCharge*fields)
}

// writePieceBytes is the size of the pieces in which answers are written, so that the
// progress of a slow reader is seen.
const writePieceBytes = 16 << 10

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.progressAt.Store(sinceStart())
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(written+writePieceBytes, len(p))])
		written += n
		c.sent.Add(int64(n))
		c.progressAt.Store(sinceStart())
		if err != nil {
			return written, err
		}
		if written == len(p) {
			break
		}
	}
	if c.listener.kind == Control {
		c.RequestEnded()
	}
	return written, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.guard.remove(c) {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side, by which net/http lets a client read the answer to
// a request that was not read to its end.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// RequestBegan is called when a head is complete. bodyBytes is the length of the body,
// -1 if it is not known. It returns a reason if the request must be refused.
func (c *Conn) RequestBegan(bodyBytes int64) (Reason, bool) {
	c.progressAt.Store(sinceStart())
	if phase(c.phase.Load()) != phaseHead {
		c.phaseSince.Store(sinceStart()) // the head was received with the previous request
	}
	c.phase.Store(int32(phaseBody))
	c.head = headScanner{}
	c.readAhead++
	if c.sawRead {
		c.readAhead, c.sawRead = 0, false
	}
	if c.readAhead > c.guard.options.Pipelined {
		c.guard.Shed(Pipelined)
		return Pipelined, false
	}
	if bodyBytes < 0 || bodyBytes > maxBodyCharge {
		bodyBytes = maxBodyCharge
	}
	return Memory, c.guard.charge(c, requestCharge+int(bodyBytes))
}

// RequestRead is called when the request is complete. From then on the client waits for
// the process, and its connection is not closed for lack of progress unless it doesn't
// read its answer.
func (c *Conn) RequestRead() { c.setPhase(phaseRunning) }

// HoldAnswer charges an answer that is about to be written until RequestEnded. An answer
// is never refused: the request has run.
func (c *Conn) HoldAnswer(bytes int) { c.guard.hold(c, min(bytes, maxBodyCharge)) }

// RequestEnded is called when the answer has been written.
func (c *Conn) RequestEnded() {
	c.ended.Add(1)
	c.setPhase(phaseIdle)
	c.received.Store(0)
	c.sent.Store(0)
	c.head = headScanner{}
	c.guard.dischargeRequest(c)
}

// CallsEnded is called when no call of a peer is in progress any more. It leaves the
// charges, as a part of the next message may have arrived.
func (c *Conn) CallsEnded() { c.setPhase(phaseIdle) }

// Charge adds to what the connection holds until Discharge or RequestEnded. It reports false if there
// is no room.
func (c *Conn) Charge(bytes int) bool { return c.guard.charge(c, bytes) }

// Discharge returns a part of what Charge has added.
func (c *Conn) Discharge(bytes int) { c.guard.discharge(c, bytes) }

// stalledFor returns the time without progress if the client is to send or to read, and
// otherwise zero.
func (c *Conn) stalledFor(now time.Time) time.Duration {
	switch phase(c.phase.Load()) {
	case phaseIdle, phaseRunning:
		if !c.writing.Load() {
			return 0
		}
	}
	return now.Sub(processStart.Add(time.Duration(c.progressAt.Load())))
}

// idleFor returns the time since the previous request, zero if one is in progress.
func (c *Conn) idleFor(now time.Time) time.Duration {
	if phase(c.phase.Load()) != phaseIdle || c.writing.Load() {
		return 0
	}
	return now.Sub(processStart.Add(time.Duration(c.phaseSince.Load())))
}

// closeBefore reports whether, of two idle connections, c is to be closed first.
func (c *Conn) closeBefore(o *Conn) bool {
	mine, others := c.listener.byAddress[c.address], o.listener.byAddress[o.address]
	if mine != others {
		return mine > others
	}
	return c.phaseSince.Load() < o.phaseSince.Load()
}

// evictionScore returns how much closing the connection frees, weighted by the time
// without progress. It is zero if the connection must not be closed.
func (c *Conn) evictionScore(now time.Time) float64 {
	stalled := c.stalledFor(now)
	if stalled < evictableStall && !c.slow(now) {
		return 0
	}
	return float64(c.charge+c.transferred()) * max(stalled, evictableStall).Seconds()
}

// slow reports whether a body arrives below the minimum rate.
func (c *Conn) slow(now time.Time) bool {
	age := now.Sub(processStart.Add(time.Duration(c.phaseSince.Load())))
	return phase(c.phase.Load()) == phaseBody && age > slowAfter && float64(c.received.Load()) < minBytesPerSecond*age.Seconds()
}

// restart makes the connection's times begin now, after the process was frozen.
func (c *Conn) restart(now time.Time) {
	at := int64(now.Sub(processStart))
	c.phaseSince.Store(at)
	c.progressAt.Store(at)
}

// expired reports whether a timeout of the connection has passed.
func (c *Conn) expired(now time.Time, t Timeouts) (Reason, bool) {
	sincePhase := now.Sub(processStart.Add(time.Duration(c.phaseSince.Load())))
	switch phase(c.phase.Load()) {
	case phaseHead:
		if c.writing.Load() {
			break
		}
		return HeadTimeout, sincePhase > t.Head
	case phaseNew, phaseIdle:
		if c.writing.Load() {
			break
		}
		return Idle, sincePhase > t.Idle
	}
	return Stalled, c.stalledFor(now) > t.Stall
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn returns a context that holds the connection and ends when its client is seen to
// leave. It is for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	ctx, conn.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, nil if it has none from a guard.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// temporary reports whether Accept may succeed later.
func temporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// headScanner counts the lines of a head as it arrives.
type headScanner struct {
	fields     int
	lineLength int // of the current line, without line ends
	complete   bool
}

// scan returns the bytes and lines of p that belong to the head.
func (h *headScanner) scan(p []byte) (bytes, lines int) {
	if h.complete {
		return 0, 0
	}
	for i, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			h.lineLength++
		case h.lineLength == 0 && h.fields > 0:
			h.complete = true
			return i + 1, lines
		default:
			h.lineLength = 0
			h.fields++
			lines++
		}
	}
	return len(p), lines
}
