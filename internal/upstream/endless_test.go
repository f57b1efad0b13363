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

// endless is a server whose answers never end.
type endless struct {
	addr  string
	sent  atomic.Int64 // bytes
	conns chan *net.TCPConn
	done  chan struct{}
}

// open reports whether the connection is open at the server's end. The kernel
// tells, since the goroutine that writes may run late on a busy machine.
func open(t *testing.T, c *net.TCPConn) bool {
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
	return err == nil && established // it is closed once its writer has seen the end
}

// tcpEstablished is the state of an open connection in Linux' tcp_states.h.
const tcpEstablished = 1

// serveEndless answers a request with a beginning and then a piece without end.
func serveEndless(t *testing.T, begin, piece string) *endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &endless{addr: l.Addr().String(), conns: make(chan *net.TCPConn, 1), done: make(chan struct{})}
	go func() {
		defer close(e.done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		e.conns <- c.(*net.TCPConn)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, begin)
		block := strings.Repeat(piece, 64<<10/len(piece)+1)
		for err == nil {
			var n int
			n, err = io.WriteString(c, block)
			e.sent.Add(int64(n))
		}
	}()
	return e
}

// endlessForms are the places of an answer in which bytes may come without end.
var endlessForms = []struct{ name, begin, piece string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"no answer", "", "\x00\xff"},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"headers", "HTTP/1.1 200 OK\r\n", "Abcdefgh: ijklmnop\r\n"},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	{"answers of other requests", "", "HTTP/1.1 200 OK\r\nX-Identity: 9\r\nContent-Length: 3\r\n\r\nold"},
	{"long answer of another request", "HTTP/1.1 200 OK\r\nX-Identity: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;abcdefgh\r\nx\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Abcdefgh: ijklmnop\r\n"},
	{"stated length", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "x"},
	{"stated length beyond the limit", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
	{"until close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
}

const (
	// endlessServers send without end at the same time, one for each slot of an
	// instance.
	endlessServers = 8
	// smallHostMemory is the part of the memory of a host of 184 MB for answers.
	smallHostMemory = 23 << 20
	// mostExtraHeap is the heap that they may take beyond what the process holds
	// at rest.
	mostExtraHeap = 64 << 20
	// mostCloseDelay bounds the time from the end of a request to that of its
	// connection.
	mostCloseDelay = 50 * time.Millisecond
)

// heapBytes returns the bytes of live and unswept objects.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// peakHeap samples the heap until stopped and returns its growth.
func peakHeap() (stop func() int64) {
	runtime.GC()
	rest := heapBytes()
	peak := rest
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
		return peak - rest
	}
}

func endlessOptions() *Options {
	o := options()
	o.MaxAnswerBytes, o.Memory = 16<<20, membudget.New(smallHostMemory)
	return o
}

// Guards against servers that end the process with bytes without end, hold their
// connections until the time limit, or leave no memory to other answers.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for _, streamed := range []bool{false, true} {
		for _, form := range endlessForms {
			name := form.name
			if streamed {
				name += ", streamed"
			}
			t.Run(name, func(t *testing.T) {
				o := endlessOptions()
				if streamed {
					o.StreamBytes = 12 << 10
				}
				playEndless(t, o, form.begin, form.piece)
			})
		}
	}
}

func playEndless(t *testing.T, o *Options, begin, piece string) {
	is := is.New(t)
	ordinary := NewPool(serve(t, "HTTP/1.1 200 OK\r\nX-Identity: 1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 100000)), o)
	stop := peakHeap()
	var wg sync.WaitGroup
	for range endlessServers {
		e := serveEndless(t, begin, piece)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			resp, err := NewPool(e.addr, o).Do(ctx, get("1"))
			if err == nil && resp.Stream != nil {
				_, err = resp.Stream.Next(resp.Size())
			}
			ended := time.Now()
			if !errorx.IsOfType(err, ErrLost) || ctx.Err() != nil {
				t.Errorf("the request ended with %v after %d bytes, context: %v", err, e.sent.Load(), ctx.Err())
			}
			for c := <-e.conns; open(t, c); time.Sleep(time.Millisecond) { // no event tells
				if time.Since(ended) > mostCloseDelay {
					t.Errorf("open %v after the end of the request", time.Since(ended))
					return
				}
			}
			<-e.done
		})
	}
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := ordinary.Do(ctx, get("1"))
		if err == nil && resp.Stream != nil {
			_, err = resp.Stream.Next(resp.Size())
		}
		cancel()
		is.NoErr(err)
	}
	wg.Wait()
	is.True(stop() < mostExtraHeap)
	awaitFree(o.Memory)
}

// Guards against memory that an answer claims before its bytes arrive.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	o := endlessOptions()
	addr, next := serveInParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "x")
	next <- struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	stop := peakHeap()
	_, err := NewPool(addr, o).Do(ctx, get("1"))
	is.True(errorx.IsOfType(err, ErrLost))
	is.True(stop() < 1<<20)
}

// Guards against memory that stays with an answer whose request has ended.
func TestMemoryIsGivenBack(t *testing.T) {
	is := is.New(t)
	o := endlessOptions()
	p := NewPool(serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 100000)), o)
	ctx, cancel := context.WithCancel(context.Background())
	_, err := p.Do(ctx, get("1"))
	is.NoErr(err)
	is.Equal(o.Memory.Free(), smallHostMemory-100000)
	cancel()
	awaitFree(o.Memory)
}

// awaitFree waits until nothing holds memory. The end of a context gives it back
// in a goroutine of its own.
func awaitFree(m *membudget.Budget) {
	for m.Free() < smallHostMemory {
		runtime.Gosched()
	}
}
