package sidecar

import (
	"net"
	"sync/atomic"
)

// maxMessageBytes bounds the bytes that this process reads from a connection between
// two of its own writes. The rows and records of 2,600 hosts take some 700 KB.
const maxMessageBytes = 8 << 20

// boundedConn is a connection to a peer that fails if the peer sends a message that is
// too large or endless. Each end of an RPC connection writes one message for each that
// it reads, so the bytes read since the last write belong to few messages.
type boundedConn struct {
	net.Conn
	readSinceWrite atomic.Int64 // bytes read since the last write
}

// Read implements io.Reader.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.readSinceWrite.Add(int64(n)) > maxMessageBytes {
		return 0, ErrPeer.New("read from peer %s: message exceeds %d bytes", c.RemoteAddr(), maxMessageBytes)
	}
	return n, err
}

// Write implements io.Writer.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.readSinceWrite.Store(0)
	return c.Conn.Write(p)
}
