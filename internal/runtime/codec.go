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

// meter limits the size of incoming messages and counts the bytes.
type meter struct {
	net.Conn
	received, sent int
	limit          int // bytes of one incoming message
	budget         int // bytes left for the current incoming message
	writeTimeout   time.Duration
}

// Read implements io.Reader. It fails once a message exceeds the limit.
func (m *meter) Read(p []byte) (int, error) {
	if m.budget <= 0 {
		return 0, ErrBadInput.New("control message is larger than %d bytes", m.limit)
	}
	n, err := m.Conn.Read(p[:min(len(p), m.budget)])
	m.budget -= n
	m.received += n
	return n, err
}

// Write implements io.Writer with the write timeout.
func (m *meter) Write(p []byte) (int, error) {
	_ = m.SetWriteDeadline(time.Now().Add(m.writeTimeout))
	n, err := m.Conn.Write(p)
	m.sent += n
	return n, err
}

// gobCodec is the server half of net/rpc's gob protocol with limits and byte
// counts. net/rpc calls the read methods from one goroutine and serialises the
// write method.
type gobCodec struct {
	meter   *meter
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	metrics *telemetry.Metrics
	method  string
}

func newGobCodec(c net.Conn, opts *Options) *gobCodec {
	m := &meter{Conn: c, limit: opts.MaxControlBytes, writeTimeout: controlTimeout}
	buffer := bufio.NewWriter(m)
	return &gobCodec{
		meter: m, decoder: gob.NewDecoder(bufio.NewReader(m)), encoder: gob.NewEncoder(buffer),
		buffer: buffer, metrics: opts.Metrics,
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestHeader(r *rpc.Request) error {
	c.meter.budget = c.meter.limit
	_ = c.meter.SetReadDeadline(time.Now().Add(controlIdle))
	err := c.decoder.Decode(r)
	c.method = r.ServiceMethod
	return c.countBad(err)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestBody(body any) error {
	_ = c.meter.SetReadDeadline(time.Now().Add(controlTimeout))
	err := c.decoder.Decode(body)
	c.metrics.ControlBytes(telemetry.Received, causeOf(c.method), c.meter.received)
	c.meter.received = 0
	return c.countBad(err)
}

func (c *gobCodec) countBad(err error) error {
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
	c.metrics.ControlBytes(telemetry.Sent, causeOf(r.ServiceMethod), c.meter.sent)
	c.meter.sent = 0
	if err != nil {
		_ = c.meter.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *gobCodec) Close() error { return c.meter.Close() }
