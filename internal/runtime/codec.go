package runtime

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/telemetry"
)

// Methods of the control server.
const (
	methodDeliver  = "Control.Deliver"
	methodOperator = "Control.Operator"
	methodTimeline = "Control.Timeline"
)

// causeOf returns the cause under which the bytes of a method are counted.
func causeOf(method string) telemetry.Cause {
	switch method {
	case methodDeliver:
		return telemetry.CauseDeliver
	case methodOperator:
		return telemetry.CauseOperator
	case methodTimeline:
		return telemetry.CauseTimeline
	}
	return telemetry.CauseOther
}

// meteredConn limits the size of incoming messages and counts the bytes in both
// directions.
type meteredConn struct {
	net.Conn
	received, sent int // bytes that the metrics do not count yet
	limit          int // maximum bytes of one incoming message
	budget         int // bytes that remain for the current incoming message
	writeTimeout   time.Duration
}

// Read implements io.Reader. It fails once a message exceeds the limit.
func (m *meteredConn) Read(p []byte) (int, error) {
	if m.budget <= 0 {
		return 0, ErrBadInput.New("control message is larger than %d bytes", m.limit)
	}
	n, err := m.Conn.Read(p[:min(len(p), m.budget)])
	m.budget -= n
	m.received += n
	return n, err
}

// Write implements io.Writer with the write timeout.
func (m *meteredConn) Write(p []byte) (int, error) {
	_ = m.SetWriteDeadline(time.Now().Add(m.writeTimeout))
	n, err := m.Conn.Write(p)
	m.sent += n
	return n, err
}

// gobCodec is the server half of net/rpc's gob protocol with limits and byte
// counts. net/rpc calls the read methods from one goroutine and serialises the
// write method.
type gobCodec struct {
	conn    *meteredConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	metrics *telemetry.Metrics
	method  string
}

func newGobCodec(c net.Conn, opts *Options) *gobCodec {
	m := &meteredConn{Conn: c, limit: opts.MaxControlBytes, writeTimeout: controlTimeout}
	buffer := bufio.NewWriter(m)
	return &gobCodec{
		conn: m, decoder: gob.NewDecoder(bufio.NewReader(m)), encoder: gob.NewEncoder(buffer),
		buffer: buffer, metrics: opts.Metrics,
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestHeader(r *rpc.Request) error {
	c.conn.budget = c.conn.limit
	_ = c.conn.SetReadDeadline(time.Now().Add(controlIdleTimeout))
	err := c.decoder.Decode(r)
	c.method = r.ServiceMethod
	return c.countDecodeError(err)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestBody(body any) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(controlTimeout))
	err := c.decoder.Decode(body)
	c.metrics.ControlBytes(telemetry.Received, causeOf(c.method), c.conn.received)
	c.conn.received = 0
	return c.countDecodeError(err)
}

func (c *gobCodec) countDecodeError(err error) error {
	if err != nil && err != io.EOF {
		c.metrics.BadControl.Add(1)
	}
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *gobCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	c.metrics.ControlBytes(telemetry.Sent, causeOf(r.ServiceMethod), c.conn.sent)
	c.conn.sent = 0
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *gobCodec) Close() error { return c.conn.Close() }
