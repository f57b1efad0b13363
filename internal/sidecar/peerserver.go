package sidecar

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/clientlimit"
)

const (
	// maxPeerCalls bounds the calls in progress on one connection of a peer. A host has a
	// long poll, an exchange and a few notices and reports in progress.
	maxPeerCalls = 8
	// peerCallCharge is charged for a call in progress. The rows and records of 90 hosts,
	// which a complete reply holds, take about 24 KB encoded, and more in memory.
	peerCallCharge = 64 << 10
	// maxPeerRequestBytes bounds a message of a call. Digests, records and reports take
	// a few KB.
	maxPeerRequestBytes = 256 << 10
	// messageChargeFactor is the memory of a decoded message relative to its size. An
	// empty element of a list takes one byte in the message, and up to 40 bytes as a
	// rollout.RouteCount.
	messageChargeFactor = 40
)

// peerServer returns the server that exchanges state with other nodes by net/rpc.
func (n *Node) peerServer(name string, l net.Listener) server {
	rpcServer := rpc.NewServer()
	conns := newConnSet()
	l = n.guard.Listener(l, clientlimit.Peers, n.limits.peers)
	serve := func() error {
		if err := rpcServer.RegisterName(peerService, &PeerService{n}); err != nil {
			return err
		}
		for {
			c, err := l.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return nil
				}
				return errorx.Decorate(err, "accept on %s", name)
			}
			conn, ok := c.(*clientlimit.Conn)
			if !ok {
				return errorx.IllegalState.New("connection on %s has type %T", name, c)
			}
			conns.add(c)
			go func() {
				defer conns.remove(c)
				rpcServer.ServeCodec(newPeerCodec(conn))
			}()
		}
	}
	return server{name: name, serve: serve, shutdown: func(context.Context) error {
		defer conns.closeAll()
		return l.Close()
	}}
}

// peerCodec implements rpc.ServerCodec with the encoding of net/rpc's own clients. Unlike
// the server's own codec it bounds the calls in progress and the memory of messages.
type peerCodec struct {
	conn    *clientlimit.Conn
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer
	calls   chan struct{} // holds an element for each call in progress
	active  atomic.Int64  // number of calls in progress
}

func newPeerCodec(conn *clientlimit.Conn) *peerCodec {
	writer := bufio.NewWriter(conn)
	return &peerCodec{
		conn: conn, decoder: gob.NewDecoder(&messageReader{conn: conn, source: bufio.NewReader(conn)}),
		encoder: gob.NewEncoder(writer), writer: writer, calls: make(chan struct{}, maxPeerCalls),
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It waits while maxPeerCalls calls are in
// progress.
func (c *peerCodec) ReadRequestHeader(r *rpc.Request) error {
	c.calls <- struct{}{}
	return c.decoder.Decode(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *peerCodec) ReadRequestBody(body any) error {
	c.active.Add(1)
	if !c.conn.Charge(peerCallCharge) {
		_ = c.conn.Close()
		return ErrPeer.New("too much memory is held by connections")
	}
	err := c.decoder.Decode(body)
	c.conn.RequestRead()
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *peerCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() {
		c.conn.Discharge(peerCallCharge)
		if c.active.Add(-1) == 0 {
			c.conn.CallsEnded()
		}
		<-c.calls
	}()
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		_ = c.conn.Close() // part of the response may have been written
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *peerCodec) Close() error { return c.conn.Close() }

// messageReader passes gob messages on when they are complete. The decoder allocates
// memory by the length that a message states, so it must not see one that hasn't arrived.
type messageReader struct {
	conn    *clientlimit.Conn
	source  *bufio.Reader
	message []byte // rest of the current message
	charged int
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(p, r.message)
	r.message = r.message[n:]
	return n, nil
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	b := r.message[0]
	r.message = r.message[1:]
	return b, nil
}

// fill reads the next message once the current one has been passed on.
func (r *messageReader) fill() error {
	if len(r.message) > 0 {
		return nil
	}
	r.conn.Discharge(r.charged)
	r.charged, r.message = 0, nil
	first, err := r.source.ReadByte()
	if err != nil {
		return err
	}
	message, size := []byte{first}, int(first)
	if first > 0x7f { // the negated number of the bytes that hold the length
		count := -int(int8(first))
		if count > 4 {
			return ErrPeer.New("the length of a message takes %d bytes", count)
		}
		size = 0
		for range count {
			b, err := r.source.ReadByte()
			if err != nil {
				return err
			}
			size = size<<8 | int(b)
			message = append(message, b)
		}
	}
	if size > maxPeerRequestBytes {
		return ErrPeer.New("a message of %d bytes exceeds %d", size, maxPeerRequestBytes)
	}
	r.message, err = r.readContent(message, size)
	return err
}

// readContent appends the content of a message. The buffer grows as the content arrives.
func (r *messageReader) readContent(message []byte, size int) ([]byte, error) {
	for size > 0 {
		piece := min(size, max(len(message), 4<<10))
		if !r.conn.Charge(messageChargeFactor * piece) {
			return nil, ErrPeer.New("too much memory is held by connections")
		}
		r.charged += messageChargeFactor * piece
		begin := len(message)
		message = append(message, make([]byte, piece)...)
		if _, err := io.ReadFull(r.source, message[begin:]); err != nil {
			return nil, err
		}
		size -= piece
	}
	return message, nil
}
