package standin

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// Guards against a malformed request that crashes the server, and against an error
// response whose body is not a wire.Error with a reason.
func FuzzHandle(f *testing.F) {
	f.Add("POST", wire.CommitPath, []byte(`{"id":"t","checks":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"eA=="}]}`))
	f.Add("POST", wire.ReadPath, []byte(`{"keys":["a"],"prefixes":["b"]}`))
	f.Add("PUT", wire.ObjectPrefix+"00", []byte("x"))
	f.Add("GET", wire.ObjectPrefix, []byte(nil))
	f.Add("PUT", wire.FaultsPath, []byte(`{"lose_responses":1}`))
	f.Add("GET", wire.CountersPath, []byte(nil))
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		server := New(Options{Log: slog.New(slog.DiscardHandler), Now: time.Now, Connections: 1})
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(method)
		ctx.Request.SetRequestURI(path)
		ctx.Request.SetBody(body)
		server.handle(&ctx)
		if status := ctx.Response.StatusCode(); status >= 400 && status != fasthttp.StatusConflict {
			var e wire.Error
			if err := json.Unmarshal(ctx.Response.Body(), &e); err != nil || e.Error == "" {
				t.Fatalf("status %d with body %q, want a wire.Error", status, ctx.Response.Body())
			}
		}
	})
}
