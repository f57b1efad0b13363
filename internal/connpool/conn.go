package connpool

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// readBufferBytes also limits the headers of a response, because fasthttp parses them
// in the read buffer.
const readBufferBytes = 8 << 10

// conn is one connection. It belongs to one call, probe or idle list at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// lastResponseAt is the time of the last complete response, that to a probe included.
	lastResponseAt time.Time
	// lastCallAt is the time of the last call; probes do not count.
	lastCallAt time.Time
}

func newConn(c net.Conn, now time.Time) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), lastResponseAt: now, lastCallAt: now}
}

// openAndEmpty reports whether the idle connection is open and has no unread bytes.
// Bytes on an idle connection belong to a late or surplus response, which must not be
// returned to the next call.
func (c *conn) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	// Once the deadline of the previous call has passed, it would make the check fail.
	if c.SetDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

var encodeBuffers = sync.Pool{New: func() any { return new(encodeBuffer) }}

type encodeBuffer struct {
	bytes  bytes.Buffer
	writer bufio.Writer
}

// write sends the request. It returns the step that it reached, and whether any byte
// may have been sent.
func (c *conn) write(req *fasthttp.Request) (Step, bool, error) {
	b := encodeBuffers.Get().(*encodeBuffer)
	defer encodeBuffers.Put(b)
	b.bytes.Reset()
	b.writer.Reset(&b.bytes)
	if err := req.Write(&b.writer); err != nil {
		return StepEncode, false, err
	}
	if err := b.writer.Flush(); err != nil {
		return StepEncode, false, err
	}
	n, err := c.Write(b.bytes.Bytes())
	return StepWrite, n > 0 || err == nil, err
}

// read reads one complete response and reports whether the connection can be reused.
func (c *conn) read(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (bool, error) {
	resp.SkipBody = req.Header.IsHead()
	if err := resp.ReadLimitBody(c.reader, maxBody); err != nil {
		return false, err
	}
	if c.reader.Buffered() > 0 {
		return false, nil
	}
	return !resp.ConnectionClose() && !req.ConnectionClose(), nil
}
