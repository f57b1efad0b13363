package clientlimit

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// departureCheckInterval is the time between two checks whether a client has left.
const departureCheckInterval = 100 * time.Millisecond

// awaitDeparture closes the connection and ends the context of its requests if the client
// leaves before the request in progress has ended. ended is the number of requests that had
// ended when it began. Bytes that the client has sent ahead hide its leaving from a Read, so
// it asks for the state of the connection.
func (c *Conn) awaitDeparture(ended int64) {
	ticker := time.NewTicker(departureCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		if c.ended.Load() != ended {
			return
		}
		if c.peerOpen() {
			continue
		}
		_ = c.Close() // before the context ends, so that no request sent ahead is read; it may be closed already
		c.cancel()
		return
	}
}

// tcpEstablished is the state of a connection that both sides keep open, in Linux'
// tcp_states.h.
const tcpEstablished = 1

// peerOpen reports whether neither side has closed the connection. If the state can't be
// read, the connection counts as closed, as it does after Close.
func (c *Conn) peerOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == tcpEstablished
	})
	return err == nil && open
}
