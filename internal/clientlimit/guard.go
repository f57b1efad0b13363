// Package clientlimit bounds what the clients of a process can hold: connections,
// descriptors, and the memory of request heads, bodies and answers that clients send or
// read too slowly. When a bound is reached, it closes the connection that holds the most
// and progresses the least.
package clientlimit

import (
	"net"
	"sync"
	"time"
)

// Reason states why a connection was closed or a request refused.
type Reason uint8

// Reasons.
const (
	Connections Reason = iota // the listener has as many connections as it may have
	Address                   // the client's address has as many connections as it may have
	Memory                    // the connections hold as much memory as they may
	Fields                    // the head of a request has too many fields
	Pipelined                 // too many requests in a row were sent ahead
	Requests                  // too many requests are in progress
	HeadTimeout               // a head was not complete in time
	Stalled                   // a body or an answer made no progress
	Idle                      // no request for the idle timeout
	reasonCount
)

// Reasons holds the names of the reasons, for logs and metrics.
var Reasons = [reasonCount]string{
	Connections: "connections", Address: "address", Memory: "memory", Fields: "fields", Pipelined: "pipelined",
	Requests: "requests", HeadTimeout: "head_timeout", Stalled: "stalled", Idle: "idle",
}

// Counts holds what was shed since the start of the process, by Reason.
type Counts [reasonCount]uint64

// Options are the bounds of a process.
type Options struct {
	// PerAddress bounds the connections of one client address at a listener for clients.
	PerAddress int
	// MemoryBytes bounds what all connections together are charged.
	MemoryBytes int
	// Pipelined bounds the requests in a row that a client sends ahead on a connection.
	Pipelined int
	// SendBufferBytes is the kernel's buffer for answers to a client, zero for the kernel's
	// default. That one grows to megabytes for a client that doesn't read.
	SendBufferBytes int
	// HeaderFields returns the bound for the fields of one request's head, and Timeouts the
	// timeouts for connections of clients. Both follow the configuration.
	HeaderFields func() int
	Timeouts     func() Timeouts
	// Shedding is called when shedding begins and when it ends. It must not call the
	// guard.
	Shedding func(begins bool, counts Counts)
}

// Timeouts bound the times for which connections make no progress.
type Timeouts struct {
	Head  time.Duration // from the first byte of a head to its end
	Stall time.Duration // between two bytes of a body or an answer
	Idle  time.Duration // between two requests, and before the first one
}

const (
	// evictableStall is the time without a byte after which a connection may be closed
	// in favour of another one. Retransmissions on a working path take less.
	evictableStall = time.Second
	// minBytesPerSecond is the rate below which a body progresses too slowly to be kept
	// when a bound is reached. slowAfter is the time after which the rate is judged.
	minBytesPerSecond = 1024
	slowAfter         = 2 * time.Second
	// quietTime is the time without shedding after which shedding has ended.
	quietTime = 5 * time.Second
	// maxSweepPeriod is the time between two sweeps beyond which the process was frozen.
	// What clients sent meanwhile has arrived but was not read, so all times start anew.
	maxSweepPeriod = 4 * time.Second
)

// Charges for what a connection holds, in bytes. They were measured with net/http: an
// open connection has two buffers and two goroutine stacks, and a field of a few bytes
// takes about 110 bytes when it is parsed and as much again when it is forwarded.
const (
	connCharge      = 16 << 10
	requestCharge   = 16 << 10 // copies of the head, a goroutine and the state of the request
	fieldCharge     = 256
	headBytesFactor = 2
	// maxBodyCharge is the part of a body that is charged here. Larger bodies are
	// charged to the budget of package membudget.
	maxBodyCharge = 16 << 10
	// shareFactor is how many times a connection's own charge must remain free, so that
	// connections that hold much leave memory to those that hold little.
	shareFactor = 4
)

// Guard holds the connections of a process. It is safe for concurrent use.
type Guard struct {
	options Options

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	charged int
	counts  Counts
	// shedAt is the time of the latest shedding. shedding is set from the first shedding
	// until quietTime has passed without another one.
	shedAt   time.Time
	shedding bool
	sweptAt  time.Time
}

// New returns a guard without connections.
func New(o Options) *Guard { return &Guard{options: o, conns: make(map[*Conn]struct{})} }

// Counts returns what was shed so far.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Shed counts a request that the caller refuses.
func (g *Guard) Shed(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shedLocked(r)
}

func (g *Guard) shedLocked(r Reason) {
	g.counts[r]++
	if r == Idle {
		return // ordinary clients leave connections idle too
	}
	g.shedAt = time.Now()
	if !g.shedding {
		g.shedding = true
		g.options.Shedding(true, g.counts)
	}
}

// admit adds a connection, or returns false if there is no room for it and no other
// connection may be closed for it.
func (g *Guard) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := c.listener
	if now.Before(l.refusedUntil) && (l.refusedAddress == "" || l.refusedAddress == c.address) {
		g.shedLocked(l.refusedReason)
		return false
	}
	sameListener := func(o *Conn) bool { return o.listener == l }
	if l.open >= l.max && !g.evictLocked(now, sameListener, true, Connections) {
		l.refuseForNow(now, "", Connections)
		g.shedLocked(Connections)
		return false
	}
	sameAddress := func(o *Conn) bool { return o.listener == l && o.address == c.address }
	if l.kind == Clients && l.byAddress[c.address] >= g.options.PerAddress && !g.evictLocked(now, sameAddress, true, Address) {
		l.refuseForNow(now, c.address, Address)
		g.shedLocked(Address)
		return false
	}
	for g.charged+connCharge > g.options.MemoryBytes {
		if !g.evictLocked(now, anyConn, true, Memory) {
			g.shedLocked(Memory)
			return false
		}
	}
	c.charge = connCharge
	g.charged += connCharge
	g.conns[c] = struct{}{}
	l.open++
	l.byAddress[c.address]++
	return true
}

func anyConn(*Conn) bool { return true }

// charge adds to what a connection holds, and closes others to make room. It reports
// false if there is no room.
func (g *Guard) charge(c *Conn, bytes int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open {
		return false
	}
	now := time.Now()
	others := func(o *Conn) bool { return o != c }
	for shareFactor*(c.charge-connCharge+bytes) > g.options.MemoryBytes-g.charged-bytes {
		if !g.evictLocked(now, others, false, Memory) {
			g.shedLocked(Memory)
			return false
		}
	}
	c.charge += bytes
	g.charged += bytes
	return true
}

// hold is like charge but always adds the bytes.
func (g *Guard) hold(c *Conn, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; open {
		c.charge += bytes
		g.charged += bytes
	}
}

func (g *Guard) discharge(c *Conn, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; open {
		bytes = min(bytes, c.charge-connCharge)
		c.charge -= bytes
		g.charged -= bytes
	}
}

// dischargeRequest returns what the connection's latest request held.
func (g *Guard) dischargeRequest(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; open {
		g.charged -= c.charge - connCharge
		c.charge = connCharge
	}
}

// remove forgets a connection that is closed. It reports false if it was forgotten
// before.
func (g *Guard) remove(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.removeLocked(c)
}

func (g *Guard) removeLocked(c *Conn) bool {
	if _, open := g.conns[c]; !open {
		return false
	}
	delete(g.conns, c)
	c.listener.refusedUntil = time.Time{} // there is room again
	g.charged -= c.charge
	c.listener.open--
	if c.listener.byAddress[c.address]--; c.listener.byAddress[c.address] == 0 {
		delete(c.listener.byAddress, c.address)
	}
	return true
}

// Reclaim closes the connection that holds the most and progresses the least, to free
// memory that is budgeted elsewhere. It reports false if none may be closed.
func (g *Guard) Reclaim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evictLocked(time.Now(), func(o *Conn) bool { return o.transferred() > maxBodyCharge }, false, Memory)
}

// evictLocked closes the connection that holds the most and progresses the least among
// those that match. A connection that progresses in time is not closed. If allowIdle is
// set and no other one may be closed, it closes an idle connection of the address with
// the most connections.
func (g *Guard) evictLocked(now time.Time, match func(*Conn) bool, allowIdle bool, r Reason) bool {
	var worst, idle *Conn
	worstScore := 0.0
	for c := range g.conns {
		if !match(c) {
			continue
		}
		if score := c.evictionScore(now); score > worstScore {
			worst, worstScore = c, score
		}
		if allowIdle && c.idleFor(now) >= evictableStall && (idle == nil || c.closeBefore(idle)) {
			idle = c
		}
	}
	if worst == nil {
		worst = idle
	}
	if worst == nil {
		return false
	}
	g.closeLocked(worst, r)
	return true
}

func (g *Guard) closeLocked(c *Conn, r Reason) {
	g.removeLocked(c)
	_ = c.Conn.Close()
	g.shedLocked(r)
}

// Sweep closes the connections whose timeouts have passed. It is to be called every
// second or so.
func (g *Guard) Sweep(now time.Time) {
	clients := g.options.Timeouts()
	g.mu.Lock()
	defer g.mu.Unlock()
	frozen := !g.sweptAt.IsZero() && now.Sub(g.sweptAt) > maxSweepPeriod
	g.sweptAt = now
	for c := range g.conns {
		if frozen {
			c.restart(now)
			continue
		}
		timeouts := clients
		if c.listener.kind != Clients {
			timeouts = internalTimeouts
		}
		if r, expired := c.expired(now, timeouts); expired {
			g.closeLocked(c, r)
		}
	}
	if g.shedding && now.Sub(g.shedAt) > quietTime {
		g.shedding = false
		g.options.Shedding(false, g.counts)
	}
}

// internalTimeouts are the timeouts for connections of other hosts, the instance and the
// platform. Other hosts keep idle connections for 20 s.
var internalTimeouts = Timeouts{Head: 10 * time.Second, Stall: 15 * time.Second, Idle: 90 * time.Second}

// Kind is the kind of clients of a listener.
type Kind uint8

// Kinds.
const (
	Clients Kind = iota // clients outside the operators' control
	Hosts               // requests of other hosts, over HTTP
	Control             // the instance and the platform, whose server reports no states
	Peers               // state exchange of other hosts
)

// listener bounds the connections of a net.Listener.
type listener struct {
	net.Listener
	guard *Guard
	kind  Kind
	max   int

	// Guarded by guard.mu.
	open      int
	byAddress map[string]int
	// refusedUntil is the time until which new connections, of refusedAddress or if it is
	// empty of all addresses, are refused without looking for one to close.
	refusedUntil   time.Time
	refusedAddress string
	refusedReason  Reason
}

// refusePause is the time after a refusal in which no connection is looked for that may
// be closed. The search takes time in proportion to the number of connections, and a
// crowd that reconnects would cause one with each attempt.
const refusePause = 50 * time.Millisecond

func (l *listener) refuseForNow(now time.Time, address string, r Reason) {
	l.refusedUntil, l.refusedAddress, l.refusedReason = now.Add(refusePause), address, r
}

// Listener returns a listener that accepts at most max connections at the same time.
func (g *Guard) Listener(l net.Listener, kind Kind, max int) net.Listener {
	return &listener{Listener: l, guard: g, kind: kind, max: max, byAddress: make(map[string]int)}
}

// maxAcceptPause bounds the pause after a failed Accept.
const maxAcceptPause = 200 * time.Millisecond

// Accept implements net.Listener. It closes connections for which there is no room, and
// tries again if the kernel has no descriptor left.
func (l *listener) Accept() (net.Conn, error) {
	wait := 5 * time.Millisecond
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			if !temporary(err) {
				return nil, err
			}
			l.guard.relieve()
			time.Sleep(wait)
			wait = min(2*wait, maxAcceptPause)
			continue
		}
		if tcp, ok := accepted.(*net.TCPConn); ok && l.kind == Clients && l.guard.options.SendBufferBytes > 0 {
			_ = tcp.SetWriteBuffer(l.guard.options.SendBufferBytes) // a failure leaves the default
		}
		host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
		c := &Conn{Conn: accepted, guard: l.guard, listener: l, address: host}
		c.setPhase(phaseNew)
		if l.guard.admit(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// relieve closes one connection because the kernel has no descriptor left.
func (g *Guard) relieve() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evictLocked(time.Now(), anyConn, true, Connections)
}
