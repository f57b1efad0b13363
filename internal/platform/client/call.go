package client

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// hostHeader is the value of the Host header. The address to connect to is that of the
// client.
const hostHeader = "platform"

// call is one HTTP request and its response.
type call struct {
	operation string
	request   *fasthttp.Request
	response  *fasthttp.Response
}

// operationNames are the names of operations in errors.
var operationNames = map[platform.Op]string{
	platform.OpCommit:    "commit",
	platform.OpRead:      "read",
	platform.OpPutObject: "put object",
	platform.OpGetObject: "get object",
}

func newCall(req *platform.Request) *call {
	return &call{operation: operationNames[req.Op], request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse()}
}

func (c *call) release() {
	fasthttp.ReleaseRequest(c.request)
	fasthttp.ReleaseResponse(c.response)
}

// encode fills in the HTTP request. It fails if the body exceeds the server's limit:
// the server closes the connection without reading such a body, which the client
// couldn't tell from a lost response.
func (c *call) encode(req *platform.Request) error {
	if err := c.encodeOp(req); err != nil {
		return err
	}
	if size := len(c.request.Body()); size > wire.MaxRequestBytes {
		return fmt.Errorf("request has %d bytes, the limit is %d", size, wire.MaxRequestBytes)
	}
	return nil
}

func (c *call) encodeOp(req *platform.Request) error {
	switch req.Op {
	case platform.OpCommit:
		return c.encodeJSON(wire.CommitPath, wire.CommitOf(&req.Txn))
	case platform.OpRead:
		return c.encodeJSON(wire.ReadPath, wire.Read{Keys: req.Keys, Prefixes: req.Prefixes})
	case platform.OpPutObject:
		c.encodeObject(fasthttp.MethodPut, req.Hash)
		c.request.SetBody(req.Object)
	case platform.OpGetObject:
		c.encodeObject(fasthttp.MethodGet, req.Hash)
	default:
		return fmt.Errorf("operation %d is not known", req.Op)
	}
	return nil
}

func (c *call) encodeJSON(path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	c.request.Header.SetMethod(fasthttp.MethodPost)
	c.request.Header.SetContentType("application/json")
	c.request.SetRequestURI("http://" + hostHeader + path)
	c.request.SetBody(body)
	return nil
}

func (c *call) encodeObject(method, hash string) {
	c.request.Header.SetMethod(method)
	c.request.SetRequestURI("http://" + hostHeader + wire.ObjectPrefix + hash)
}
