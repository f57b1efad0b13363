package sidecar

import (
	"net"
	"sync/atomic"
)

// maxMessageBytes bounds what one end of an exchange takes in between two messages
// of its own. The rows and the records of 2,600 hosts are some 700 KB.
const maxMessageBytes = 8 << 20

// boundedConn ends a connection to a peer that sends without end. An end of an
// exchange writes once for each message that it reads, so that the bytes read since
// the last write are those of few messages.
type boundedConn struct {
	net.Conn
	unanswered atomic.Int64 // bytes read since the last write
}

// Read implements io.Reader.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.unanswered.Add(int64(n)) > maxMessageBytes {
		return 0, ErrPeer.New("message of %s exceeds %d bytes", c.RemoteAddr(), maxMessageBytes)
	}
	return n, err
}

// Write implements io.Writer.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.unanswered.Store(0)
	return c.Conn.Write(p)
}
