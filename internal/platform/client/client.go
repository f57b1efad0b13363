// Package client speaks to the platform's table and object store over HTTP.
package client

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// MaxResponseBytes is the largest response body that is read, in bytes.
const MaxResponseBytes = 64 << 20

// maxIdle is the time after which an unused connection is closed. It is below
// the server's idle timeout, so that a request rarely meets a closing
// connection.
const maxIdle = time.Minute

// Settings of a Client.
type Settings struct {
	// Addr is the platform's address as "IP:port".
	Addr string
	// Timeout bounds one operation, from dialling to the last byte.
	Timeout time.Duration
	// MaxConns is the largest number of connections.
	MaxConns int
}

// Client sends operations to the platform. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     fasthttp.HostClient
}

// New returns a client. It opens connections when they are first needed.
func New(settings Settings) *Client {
	return &Client{
		settings: settings,
		http: fasthttp.HostClient{
			Addr:                     settings.Addr,
			MaxConns:                 settings.MaxConns,
			MaxIdleConnDuration:      maxIdle,
			MaxConnWaitTimeout:       settings.Timeout,
			MaxResponseBodySize:      MaxResponseBytes,
			NoDefaultUserAgentHeader: true,
			// The reducers decide whether an operation is sent again.
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do runs one operation. A result with the status Unknown or Invalid comes
// with an error of type Unanswered or Refused; the result itself is always
// usable as an event.
func (c *Client) Do(req *platform.Request) (platform.Result, error) {
	call := newCall(req)
	defer call.release()
	res := platform.Result{ID: req.ID, Op: req.Op}
	err := call.encode(req)
	if err != nil {
		err = c.fail(Refused, call.step, err)
	} else if sendErr := c.http.DoTimeout(call.request, call.response, c.settings.Timeout); sendErr != nil {
		err = c.fail(Unanswered, call.step, sendErr)
	} else {
		err = c.read(call, &res)
	}
	if err != nil {
		res.Status, res.Rows, res.Object = platform.Unknown, nil, nil
		if errorx.IsOfType(err, Refused) {
			res.Status = platform.Invalid
		}
		res.Err = err.Error()
	}
	return res, err
}

func (c *Client) fail(kind *errorx.Type, step string, cause error) error {
	return kind.Wrap(cause, "platform operation failed").
		WithProperty(Step, step).WithProperty(Peer, c.settings.Addr)
}

// read fills res from the response.
func (c *Client) read(call *call, res *platform.Result) error {
	status, body := call.response.StatusCode(), call.response.Body()
	switch {
	case status == fasthttp.StatusBadRequest || status == fasthttp.StatusRequestEntityTooLarge:
		return c.fail(Refused, call.step, fmt.Errorf("status %d: %s", status, reasonOf(body)))
	case status == fasthttp.StatusNotFound && res.Op == platform.OpGetObject:
		res.Status = platform.NotFound
		return nil
	case status == fasthttp.StatusConflict && res.Op == platform.OpCommit:
		res.Status = platform.Conflict
	case status == fasthttp.StatusOK || status == fasthttp.StatusNoContent:
		res.Status = platform.OK
	default:
		return c.fail(Unanswered, call.step, fmt.Errorf("status %d: %s", status, reasonOf(body)))
	}
	if err := readBody(body, res); err != nil {
		return c.fail(Unanswered, call.step, err)
	}
	return nil
}

func readBody(body []byte, res *platform.Result) error {
	switch res.Op {
	case platform.OpGetObject:
		res.Object = append([]byte{}, body...)
	case platform.OpCommit, platform.OpRead:
		var rows wire.Rows
		if err := json.Unmarshal(body, &rows); err != nil {
			return fmt.Errorf("malformed answer: %w", err)
		}
		res.Rows = rows.PlatformRows()
	}
	return nil
}

// reasonOf returns the explanation in an error answer.
func reasonOf(body []byte) string {
	var e wire.Error
	if err := json.Unmarshal(body, &e); err != nil || e.Error == "" {
		return "no reason given"
	}
	return e.Error
}
