package main

import (
	"bufio"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times after which the sidecar itself gives up on a peer that does not answer: the
// opening of a connection, and bytes that stay unacknowledged (TCP_USER_TIMEOUT). A
// proxy on loopback acknowledges by itself, so during a silent cut it resets a
// connection at the time at which the sidecar's own timeout would have closed it.
const (
	dialInbound   = 300 * time.Millisecond
	dialPeers     = 400 * time.Millisecond
	userTimeout   = 400 * time.Millisecond
	noUserTimeout = 0
)

// link is a proxy in front of one address of a machine. During a cut it resets the
// connections of the machines that are cut off from it or, in a silent cut, delivers
// none of their bytes.
type link struct {
	listener    net.Listener
	target      string
	dialTimeout time.Duration // of the callers
	userTimeout time.Duration // of the callers; zero for none

	mu    sync.Mutex
	pairs map[*pair]struct{}
	// cut reports whether a connection from the given local port of this computer is
	// cut. It is nil while there is no cut.
	cut    func(port int) bool
	silent bool
}

type pair struct {
	near, far net.Conn
	port      int // of the caller
	silent    atomic.Bool
	ended     chan struct{}
}

func newLink(addr, target string, dialTimeout, userTimeout time.Duration) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, dialTimeout: dialTimeout, userTimeout: userTimeout, pairs: make(map[*pair]struct{})}
	go k.accept()
	return k, nil
}

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(near)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (k *link) serve(near net.Conn) {
	port := near.RemoteAddr().(*net.TCPAddr).Port
	k.mu.Lock()
	cut, silent := k.cut, k.silent
	k.mu.Unlock()
	if cut != nil && cut(port) {
		if silent {
			time.Sleep(k.dialTimeout)
		}
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far, port: port, ended: make(chan struct{})}
	k.mu.Lock()
	k.pairs[p] = struct{}{}
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near); done <- struct{}{} }()
	go func() { p.copy(near, far); done <- struct{}{} }()
	<-done
	<-done
	k.drop(p)
}

// drop ends a connection.
func (k *link) drop(p *pair) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.pairs[p]; !ok {
		return
	}
	delete(k.pairs, p)
	close(p.ended)
	if p.silent.Load() {
		reset(p.near)
		reset(p.far)
		return
	}
	_ = p.near.Close()
	_ = p.far.Close()
}

// copy forwards bytes until one side closes the connection. Once the connection is
// silent, it drops them and hides the end of the connection.
func (p *pair) copy(dst, src net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if p.silent.Load() {
			<-p.ended
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// setCut starts a cut, or ends it if cut is nil. The connections that were cut are
// reset at its end.
//
// isOpenCut tells which of the open connections are cut, cut which of the new ones.
func (k *link) setCut(isOpenCut, cut func(port int) bool, silent bool) {
	k.mu.Lock()
	k.cut, k.silent = cut, silent
	var open []*pair
	for p := range k.pairs {
		open = append(open, p)
	}
	k.mu.Unlock()
	for _, p := range open {
		switch {
		case cut == nil && p.silent.Load():
			k.drop(p)
		case cut != nil && isOpenCut(p.port):
			p.silent.Store(true)
			if !silent {
				k.drop(p)
			} else if k.userTimeout > 0 {
				time.AfterFunc(k.userTimeout, func() { k.drop(p) })
			}
		}
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	all := func(int) bool { return true }
	k.setCut(all, all, false)
}

// cutOff partitions each of the given machines from all other machines of the system.
// The store, its instance and its clients still reach it. A silent cut delivers nothing;
// another one resets connections.
func (f *fleet) cutOff(silent bool, cutHosts ...*host) {
	open := make(map[int]bool) // ports of the open connections of these machines
	for _, h := range cutHosts {
		maps.Copy(open, h.ports())
	}
	for _, other := range f.hosts {
		if !other.links {
			continue
		}
		isOpenCut := func(port int) bool { return open[port] }
		cut := func(port int) bool {
			return slices.ContainsFunc(cutHosts, func(h *host) bool { return h.ports()[port] })
		}
		if slices.Contains(cutHosts, other) {
			isOpenCut = func(int) bool { return true }
			cut = isOpenCut
		}
		other.inbound.setCut(isOpenCut, cut, silent)
		other.peers.setCut(isOpenCut, cut, silent)
	}
}

// heal ends the cut.
func (f *fleet) heal() {
	for _, h := range f.hosts {
		if h.links {
			h.inbound.setCut(nil, nil, false)
			h.peers.setCut(nil, nil, false)
		}
	}
}

// scan serializes the reads of /proc, which are large.
var scan sync.Mutex

// ports returns the local ports of the TCP connections of the machine's process.
func (h *host) ports() map[int]bool {
	scan.Lock()
	defer scan.Unlock()
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	sockets := make(map[string]bool)
	folder := "/proc/" + strconv.Itoa(pid) + "/fd"
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil {
			sockets[target] = true
		}
	}
	ports := make(map[int]bool)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ports
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || !sockets["socket:["+fields[9]+"]"] {
			continue
		}
		_, hex, _ := strings.Cut(fields[1], ":")
		if port, err := strconv.ParseInt(hex, 16, 32); err == nil {
			ports[int(port)] = true
		}
	}
	return ports
}
