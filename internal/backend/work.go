package backend

import (
	"net"
	"syscall"
	"time"
)

// pollInterval is the time between two checks whether the peer has closed the
// connection of a running call. The HTTP server does not detect this, since it does
// not read while a handler runs.
const pollInterval = 10 * time.Millisecond

// workResult is the reason for which the service time of a call ended.
type workResult uint8

const (
	workDone workResult = iota
	workCancelled
	workExpired
)

// simulateWork blocks for the service time of a call. It returns early if the
// deadline passes or the peer closes the connection.
func simulateWork(conn net.Conn, serviceTime time.Duration, deadline <-chan time.Time) workResult {
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

// closedByPeer reports whether the peer has closed the connection. It reads with
// MSG_PEEK, so that a pipelined request is not consumed.
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
