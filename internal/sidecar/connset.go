package sidecar

import (
	"io"
	"log"
	"net"
	"sync"
)

// discardLog drops the log lines of net/http about single connections. Clients close
// connections all the time, and counters show how often.
var discardLog = log.New(io.Discard, "", 0)

// connSet holds the open connections of a server, which it closes when it stops.
type connSet struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newConnSet() *connSet { return &connSet{conns: make(map[net.Conn]struct{})} }

func (s *connSet) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *connSet) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
