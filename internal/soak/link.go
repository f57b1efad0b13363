package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode determines how a link treats the bytes of its connections.
type LinkMode uint8

// Modes of a link.
const (
	LinkPass      LinkMode = iota
	LinkDelay              // delay all bytes by linkDelay
	LinkBlackhole          // read bytes and discard them
	LinkOneWay             // forward bytes from the caller, discard those of the target
	LinkReset              // reset all existing and new connections
)

// linkDelay is the delay that LinkDelay adds to each chunk of bytes.
const linkDelay = 150 * time.Millisecond

// Link is a fault-injecting TCP proxy in front of one loopback address.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  LinkMode
	conns map[*net.TCPConn]struct{}
}

// NewLink listens on addr and forwards connections to target.
func NewLink(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, conns: make(map[*net.TCPConn]struct{})}
	go k.accept()
	return k, nil
}

// SetMode changes the mode, also for existing connections. LinkReset resets these
// at once.
func (k *Link) SetMode(m LinkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	if m != LinkReset {
		return
	}
	for c := range k.conns {
		reset(c)
	}
}

func (k *Link) currentMode() LinkMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

// Close closes the listener and resets all connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.SetMode(LinkReset)
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c.(*net.TCPConn))
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (k *Link) serve(callerConn *net.TCPConn) {
	k.track(callerConn, true)
	defer k.track(callerConn, false)
	defer reset(callerConn)
	if k.currentMode() == LinkReset {
		return
	}
	conn, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	targetConn := conn.(*net.TCPConn)
	k.track(targetConn, true)
	defer k.track(targetConn, false)
	defer reset(targetConn)
	done := make(chan struct{}, 2)
	go func() { k.copy(targetConn, callerConn, true); done <- struct{}{} }()
	go func() { k.copy(callerConn, targetConn, false); done <- struct{}{} }()
	<-done
	<-done
}

func (k *Link) track(c *net.TCPConn, add bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if add {
		k.conns[c] = struct{}{}
	} else {
		delete(k.conns, c)
	}
}

// copy forwards bytes from src to dst until either side is closed. fromCaller is set
// in the direction from the caller to the target.
func (k *Link) copy(dst, src *net.TCPConn, fromCaller bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !k.forwardBytes(dst, buffer[:n], fromCaller) {
			return
		}
		if err == io.EOF {
			_ = dst.CloseWrite()
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

func (k *Link) forwardBytes(dst *net.TCPConn, b []byte, fromCaller bool) bool {
	switch k.currentMode() {
	case LinkBlackhole:
		return true
	case LinkOneWay:
		if !fromCaller {
			return true
		}
	case LinkDelay:
		time.Sleep(linkDelay)
	}
	_, err := dst.Write(b)
	return err == nil
}
