package connpool

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// forwarder passes TCP connections on and can silence the established ones:
// they stay open, but no byte passes any more.
type forwarder struct {
	addr   string
	opened chan struct{}

	mu     sync.Mutex
	silent chan struct{}
	conns  []net.Conn
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{addr: l.Addr().String(), opened: make(chan struct{}, 64), silent: make(chan struct{})}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.forward(&wg, c, target)
		}
	})
	t.Cleanup(func() {
		l.Close()
		f.mu.Lock()
		for _, c := range f.conns {
			c.Close()
		}
		f.mu.Unlock()
		wg.Wait()
	})
	return f
}

func (f *forwarder) forward(wg *sync.WaitGroup, c net.Conn, target string) {
	up, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, c, up)
	silent := f.silent
	f.mu.Unlock()
	wg.Go(func() { pump(up, c, silent) })
	wg.Go(func() { pump(c, up, silent) })
	f.opened <- struct{}{}
}

// pump copies bytes until silent is closed; then it reads and drops them.
func pump(to, from net.Conn, silent chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			select {
			case <-silent: // the peer must not learn of the end
			default:
				to.Close()
			}
			return
		}
		select {
		case <-silent:
		default:
			if _, err := io.Writer(to).Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}

// silence stops all connections that are open now.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silent)
	f.silent = make(chan struct{})
}

// waitOpened waits until n connections more have been opened.
func (f *forwarder) waitOpened(t *testing.T, n int) {
	t.Helper()
	deadline := time.After(testTimeout)
	for i := range n {
		select {
		case <-f.opened:
		case <-deadline:
			t.Fatalf("%d of %d connections opened", i, n)
		}
	}
}
