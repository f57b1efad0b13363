package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is what a link does with the bytes of its connections.
type LinkMode uint8

// Modes of a link.
const (
	LinkPass   LinkMode = iota
	LinkDelay           // hold all bytes for a time
	LinkSilent          // take bytes and deliver none
	LinkOneWay          // deliver the bytes of the caller only
	LinkReset           // reset all connections, old and new
)

// linkDelay is the time for which a link holds bytes in LinkDelay.
const linkDelay = 150 * time.Millisecond

// Link is a loopback proxy in front of one address.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  LinkMode
	conns map[*net.TCPConn]struct{}
}

// NewLink listens on addr and passes connections on to target.
func NewLink(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, conns: make(map[*net.TCPConn]struct{})}
	go k.accept()
	return k, nil
}

// Set changes the mode.
func (k *Link) Set(m LinkMode) {
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

func (k *Link) get() LinkMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

// Close ends the link and its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.Set(LinkReset)
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

func (k *Link) serve(in *net.TCPConn) {
	k.track(in, true)
	defer k.track(in, false)
	defer reset(in)
	if k.get() == LinkReset {
		return
	}
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	k.track(out, true)
	defer k.track(out, false)
	defer reset(out)
	done := make(chan struct{}, 2)
	go func() { k.copy(out, in, true); done <- struct{}{} }()
	go func() { k.copy(in, out, false); done <- struct{}{} }()
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

// copy passes bytes on until one side ends. forward is set from caller to callee.
func (k *Link) copy(dst, src *net.TCPConn, forward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !k.pass(dst, buffer[:n], forward) {
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

func (k *Link) pass(dst *net.TCPConn, b []byte, forward bool) bool {
	switch k.get() {
	case LinkSilent:
		return true
	case LinkOneWay:
		if !forward {
			return true
		}
	case LinkDelay:
		time.Sleep(linkDelay)
	}
	_, err := dst.Write(b)
	return err == nil
}
