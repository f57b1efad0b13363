package runtime

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/backend/echo"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/load"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// BenchmarkAddedLatency compares calls through two nodes (remote), and through
// one node with a backend server on its host (local), with direct calls to the
// backend server in the same run. All of them share one process, so the results
// include its scheduling.
func BenchmarkAddedLatency(b *testing.B) {
	backend := startBackend(b, func(ctx *fasthttp.RequestCtx) {
		id := ctx.Request.Header.Peek(mesh.HeaderRequestID)
		body, err := json.Marshal(echo.Answer{Digest: echo.Digest(ctx.Method(), ctx.RequestURI(), id, ctx.PostBody())})
		if err != nil {
			panic(err)
		}
		ctx.SetBody(body)
	})
	entry, _, _ := startNodePair(b, backend)
	local := startNode(b, "local", &fakeStepper{targetHost: "local", backendAddr: backend})
	for name, node := range map[string]*testNode{"remote": entry, "local": local} {
		for _, rate := range []float64{200, 1000, 4000} {
			b.Run(fmt.Sprintf("%s/%g", name, rate), func(b *testing.B) {
				report, err := load.Run(context.Background(), &settings.LoadGenerator{
					Targets: []string{node.callAddr}, Direct: backend, FailureDomain: "ifrane", RatePerSecond: rate,
					Duration: time.Duration(float64(b.N) / rate * float64(time.Second)), Timeout: testTimeout,
					MaxInFlight: 1000, Connections: 1000,
					Requests: []settings.LoadRequest{{
						Name: "write", Method: "POST", Path: "/x", BodyBytes: 512, Weight: 1, Identity: true, Deadline: testTimeout,
					}},
				})
				if err != nil || report.AddedP50 == nil || report.Nodes[0].Counts.Answered != int64(b.N) {
					b.Fatalf("run failed: %v, report %+v", err, report)
				}
				b.ReportMetric(*report.AddedP50, "added-p50-ms")
				b.ReportMetric(*report.AddedP99, "added-p99-ms")
			})
		}
	}
}

// bytesConn is a connection from which fixed bytes are read.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.Reader.Read(p) }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }

// Guards against bytes on a control connection that make the decoder panic or
// read beyond the limit of a message.
func FuzzControlCodec(f *testing.F) {
	var valid bytes.Buffer
	encoder := gob.NewEncoder(&valid)
	for _, v := range []any{rpc.Request{ServiceMethod: methodDeliver, Seq: 1}, core.Envelope{From: "a", Clock: 1}} {
		if err := encoder.Encode(v); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(valid.Bytes())
	f.Add([]byte("\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte{})
	opts := DefaultOptions()
	opts.MaxControlBytes = 4 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		codec := newGobCodec(bytesConn{Reader: bytes.NewReader(data)}, &opts)
		var request rpc.Request
		for codec.ReadRequestHeader(&request) == nil && codec.ReadRequestBody(new(core.Envelope)) == nil {
			if codec.conn.budget < 0 {
				t.Errorf("read %d bytes beyond the limit", -codec.conn.budget)
			}
		}
	})
}
