package connpool

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// forwarder forwards TCP connections to a target and can silence the established ones:
// they stay open, but it forwards no more bytes.
type forwarder struct {
	addr   string
	opened chan struct{} // one value for each connection that is forwarded

	mu     sync.Mutex
	silent chan struct{} // closed to silence the connections opened until then
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
	targetConn, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, c, targetConn)
	silent := f.silent
	f.mu.Unlock()
	wg.Go(func() { copyUntilSilenced(targetConn, c, silent) })
	wg.Go(func() { copyUntilSilenced(c, targetConn, silent) })
	f.opened <- struct{}{}
}

// copyUntilSilenced copies bytes until silent is closed; after that it reads and drops
// them.
func copyUntilSilenced(to, from net.Conn, silent chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			select {
			case <-silent: // the other side must not see the close
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

// silence stops forwarding on all connections that are open now.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silent)
	f.silent = make(chan struct{})
}

// waitOpened waits until n more connections have been opened.
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
