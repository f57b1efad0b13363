package backend

import (
	"net"
	"syscall"
	"time"
)

// pollInterval is the time between two checks whether the peer has closed the
// connection of a running call. The HTTP server does not read while a handler
// runs, so it does not notice.
const pollInterval = 10 * time.Millisecond

// workResult tells how the service time of a call ended.
type workResult uint8

const (
	workDone workResult = iota
	workCancelled
	workExpired
)

// work holds a slot for the service time. It ends early if the deadline passes
// or the peer closes the connection.
func work(conn net.Conn, serviceTime time.Duration, deadline <-chan time.Time) workResult {
	if serviceTime <= 0 {
		return workDone
	}
	done := time.NewTimer(serviceTime)
	defer done.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-done.C:
			return workDone
		case <-deadline:
			return workExpired
		case <-poll.C:
			if closedByPeer(conn) {
				return workCancelled
			}
		}
	}
}

// closedByPeer reports whether the peer has closed the connection. It peeks,
// so a pipelined request stays unread.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Unlike Read, Control does not fail after the connection's read deadline.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
