// Package client calls the platform's table and object store over HTTP.
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

// maxIdleTime is the time after which an unused connection is closed. It is below
// the server's idle timeout, so that a request is rarely sent on a
// connection that the server is closing.
const maxIdleTime = time.Minute

// Settings of a Client.
type Settings struct {
	// TableAddr and ObjectAddr are the addresses of the table and of the object
	// store as "IP:port". They may be the same.
	TableAddr  string
	ObjectAddr string
	// Timeout limits the duration of one operation, from dialling to the last byte of
	// the response.
	Timeout time.Duration
	// MaxConns is the largest number of connections to each of the two addresses.
	MaxConns int
}

// Client sends operations to the platform. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	table   *fasthttp.HostClient
	objects *fasthttp.HostClient
}

// New returns a client. It opens connections when they are first needed.
func New(settings Settings) *Client {
	return &Client{
		timeout: settings.Timeout,
		table:   newHostClient(settings.TableAddr, &settings),
		objects: newHostClient(settings.ObjectAddr, &settings),
	}
}

func newHostClient(addr string, settings *Settings) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     addr,
		DialDualStack:            true, // addresses may be IPv6
		MaxConns:                 settings.MaxConns,
		MaxIdleConnDuration:      maxIdleTime,
		MaxConnWaitTimeout:       settings.Timeout,
		MaxResponseBodySize:      MaxResponseBytes,
		NoDefaultUserAgentHeader: true,
		// The reducers decide whether an operation is sent again.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.table.CloseIdleConnections()
	c.objects.CloseIdleConnections()
}

// hostClient returns the HTTP client of the service that executes an operation.
func (c *Client) hostClient(op platform.Op) *fasthttp.HostClient {
	if op == platform.OpPutObject || op == platform.OpGetObject {
		return c.objects
	}
	return c.table
}

// Do runs one operation. A result with the status Unknown or Invalid comes
// with an error of type Unanswered or Refused; the result itself is always
// usable as an event.
func (c *Client) Do(req *platform.Request) (platform.Result, error) {
	call, server := newCall(req), c.hostClient(req.Op)
	defer call.release()
	res := platform.Result{ID: req.ID, Op: req.Op}
	err := call.encode(req)
	if err != nil {
		err = operationError(Refused, call.operation, server.Addr, err)
	} else if sendErr := server.DoTimeout(call.request, call.response, c.timeout); sendErr != nil {
		err = operationError(Unanswered, call.operation, server.Addr, sendErr)
	} else {
		err = decodeResponse(call, server.Addr, &res)
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

// operationError wraps the cause of a failed operation in an error of the given type.
func operationError(kind *errorx.Type, operation, addr string, cause error) error {
	return kind.Wrap(cause, "platform operation failed").
		WithProperty(Operation, operation).WithProperty(Peer, addr)
}

// decodeResponse fills res from the response.
func decodeResponse(call *call, addr string, res *platform.Result) error {
	status, body := call.response.StatusCode(), call.response.Body()
	switch {
	case status == fasthttp.StatusBadRequest || status == fasthttp.StatusRequestEntityTooLarge:
		return operationError(Refused, call.operation, addr, fmt.Errorf("status %d: %s", status, errorReason(body)))
	case status == fasthttp.StatusNotFound && res.Op == platform.OpGetObject:
		res.Status = platform.NotFound
		return nil
	case status == fasthttp.StatusConflict && res.Op == platform.OpCommit:
		res.Status = platform.Conflict
	case status == fasthttp.StatusOK || status == fasthttp.StatusNoContent:
		res.Status = platform.OK
	default:
		return operationError(Unanswered, call.operation, addr, fmt.Errorf("status %d: %s", status, errorReason(body)))
	}
	if err := decodeBody(body, res); err != nil {
		return operationError(Unanswered, call.operation, addr, err)
	}
	return nil
}

func decodeBody(body []byte, res *platform.Result) error {
	switch res.Op {
	case platform.OpGetObject:
		res.Object = append([]byte{}, body...)
	case platform.OpCommit, platform.OpRead:
		var rows wire.Rows
		if err := json.Unmarshal(body, &rows); err != nil {
			return fmt.Errorf("malformed response: %w", err)
		}
		res.Rows = rows.PlatformRows()
	}
	return nil
}

// errorReason returns the explanation in the body of an error response.
func errorReason(body []byte) string {
	var e wire.Error
	if err := json.Unmarshal(body, &e); err != nil || e.Error == "" {
		return "no reason given"
	}
	return e.Error
}
