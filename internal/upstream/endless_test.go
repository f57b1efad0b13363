package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

// endlessServer is a server that accepts one connection and never stops sending its
// response.
type endlessServer struct {
	addr      string
	sentBytes atomic.Int64
	conns     chan *net.TCPConn // the accepted connection
	done      chan struct{}     // closed when the server has stopped sending
}

// isEstablished reports whether the connection is still established at the server's
// end. It asks the kernel, because on a busy machine the writing goroutine may notice
// the close late.
func isEstablished(t *testing.T, c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return false
	}
	established := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
	})
	return err == nil && established // Control fails once the writer has closed the connection after a failed write
}

// tcpEstablished is the state of an open connection in Linux' tcp_states.h.
const tcpEstablished = 1

// serveEndless answers a request with prefix and then repeats block until the client
// closes the connection.
func serveEndless(t *testing.T, prefix, block string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{addr: l.Addr().String(), conns: make(chan *net.TCPConn, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		s.conns <- c.(*net.TCPConn)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, prefix)
		chunk := strings.Repeat(block, 64<<10/len(block)+1)
		for err == nil {
			var n int
			n, err = io.WriteString(c, chunk)
			s.sentBytes.Add(int64(n))
		}
	}()
	return s
}

// endlessCases are the parts of a response that a server may send without end.
var endlessCases = []struct{ name, prefix, block string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"bytes that are not HTTP", "", "\x00\xff"},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"headers", "HTTP/1.1 200 OK\r\n", "Abcdefgh: ijklmnop\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	{"responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Identity: 9\r\nContent-Length: 3\r\n\r\nold"},
	{"long response to another request", "HTTP/1.1 200 OK\r\nX-Identity: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"one-byte chunks with extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;abcdefgh\r\nx\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Abcdefgh: ijklmnop\r\n"},
	{"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "x"},
	{"Content-Length beyond the limit", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
	{"body without length until close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
}

const (
	// endlessServerCount is the number of servers that send without end at the same
	// time, one for each slot of an instance.
	endlessServerCount = 8
	// smallHostMemory is the budget for response bodies on a host with 184 MB of memory.
	smallHostMemory = 23 << 20
	// maxExtraHeap bounds the growth of the heap while these servers send.
	maxExtraHeap = 64 << 20
	// maxCloseDelay bounds the time from the end of a request until its connection is
	// closed.
	maxCloseDelay = 50 * time.Millisecond
)

// heapBytes returns the bytes of live and unswept objects.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// measureHeapGrowth samples the size of the heap until stop is called, which returns
// its largest growth.
func measureHeapGrowth() (stop func() int64) {
	runtime.GC()
	baseline := heapBytes()
	peak := baseline
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				peak = max(peak, heapBytes())
			}
		}
	}()
	return func() int64 {
		close(quit)
		<-done
		return peak - baseline
	}
}

func endlessOptions() *Options {
	o := testOptions()
	o.MaxAnswerBytes, o.Memory = 16<<20, membudget.New(smallHostMemory)
	return o
}

// Guards against servers that send without end and thereby exhaust the memory of the
// process, keep their connections until the time limit, or leave no memory for other
// responses.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for _, streamed := range []bool{false, true} {
		for _, c := range endlessCases {
			name := c.name
			if streamed {
				name += ", streamed"
			}
			t.Run(name, func(t *testing.T) {
				o := endlessOptions()
				if streamed {
					o.StreamBytes = 12 << 10
				}
				checkEndlessCase(t, o, c.prefix, c.block)
			})
		}
	}
}

// checkEndlessCase requests from endlessServerCount endless servers at once and checks
// that each request fails early and closes its connection, that requests to a
// well-behaved server succeed meanwhile, and that memory stays bounded.
func checkEndlessCase(t *testing.T, o *Options, prefix, block string) {
	is := is.New(t)
	wellBehaved := NewPool(serve(t, "HTTP/1.1 200 OK\r\nX-Identity: 1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 100000)), o)
	stop := measureHeapGrowth()
	var wg sync.WaitGroup
	for range endlessServerCount {
		server := serveEndless(t, prefix, block)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			resp, err := NewPool(server.addr, o).Do(ctx, newGet("1"))
			if err == nil && resp.Stream != nil {
				_, err = resp.Stream.Next(resp.Size())
			}
			endedAt := time.Now()
			if !errorx.IsOfType(err, ErrLost) || ctx.Err() != nil {
				t.Errorf("the request ended with %v after %d bytes, context: %v", err, server.sentBytes.Load(), ctx.Err())
			}
			for c := <-server.conns; isEstablished(t, c); time.Sleep(time.Millisecond) { // polls, because no event reports the close
				if time.Since(endedAt) > maxCloseDelay {
					t.Errorf("connection still open %v after the end of the request", time.Since(endedAt))
					return
				}
			}
			<-server.done
		})
	}
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := wellBehaved.Do(ctx, newGet("1"))
		if err == nil && resp.Stream != nil {
			_, err = resp.Stream.Next(resp.Size())
		}
		cancel()
		is.NoErr(err)
	}
	wg.Wait()
	grown := stop()
	t.Logf("heap grew by %.1f MB", float64(grown)/(1<<20))
	is.True(grown < maxExtraHeap)
	awaitMemoryReleased(o.Memory)
}

// Guards against memory that is allocated for a stated Content-Length before the bytes
// arrive.
func TestContentLengthAloneReservesNoMemory(t *testing.T) {
	is := is.New(t)
	o := endlessOptions()
	addr, next := serveInParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "x")
	next <- struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	stop := measureHeapGrowth()
	_, err := NewPool(addr, o).Do(ctx, newGet("1"))
	is.True(errorx.IsOfType(err, ErrLost))
	is.True(stop() < 1<<20)
}

// Guards against memory of a response that stays reserved after the context of its
// request has ended.
func TestMemoryIsReleasedWhenContextEnds(t *testing.T) {
	is := is.New(t)
	o := endlessOptions()
	p := NewPool(serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 100000)), o)
	ctx, cancel := context.WithCancel(context.Background())
	_, err := p.Do(ctx, newGet("1"))
	is.NoErr(err)
	is.Equal(o.Memory.Free(), smallHostMemory-100000)
	cancel()
	awaitMemoryReleased(o.Memory)
}

// awaitMemoryReleased waits until the whole budget is free. The end of a context
// releases the memory in a separate goroutine.
func awaitMemoryReleased(m *membudget.Budget) {
	for m.Free() < smallHostMemory {
		runtime.Gosched()
	}
}
