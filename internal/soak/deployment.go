// Package soak runs the real programs as processes on loopback addresses,
// injects faults from outside them and checks the system's promises by what
// callers and instances see.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Offsets of a host's ports.
const (
	portCall = 21001 + iota
	portForward
	portReady
	portControl
	portPeer
	portMetrics
	portInstance
	portForwardLink
	portPeerLink
	portStoreLink
	portStore
)

const (
	serviceName = "svc"
	hostName    = "app.example"
	oldVersion  = "v1"
	newVersion  = "v2"
	slots       = 6
	work        = 30 * time.Millisecond
	heartbeat   = 300 * time.Millisecond
	gracePeriod = 6 * time.Second
	// crashPause is the time for which an instance that a request has crashed is away.
	crashPause = time.Second
)

// Options of a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// Program is the path of chicory-sidecar, Dir takes settings and logs.
	Program string
	Dir     string
}

// deployment is a store, hosts with their instances, and the links between them.
type deployment struct {
	opts      Options
	store     *standin.Store
	server    *http.Server
	hosts     []*host
	ledger    *ledger
	mu        sync.Mutex
	version   int
	crashes   int                  // by requests
	disturbed map[string]time.Time // end of the last unplanned fault, by cause
}

// host is one machine.
type host struct {
	index    int
	ip       string
	version  string
	links    [3]*Link // forward, peer, store
	instance *standin.Instance
	runs     []standin.Run // of instances that have ended
	down     bool          // the instance has crashed
	cancel   context.CancelFunc

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	stopping time.Time     // of a planned stop
	expected bool          // the process is being ended by the soak
	started  time.Time
	applied  int // newest configuration that this process has shown
}

func (d *deployment) ip(host int) string {
	return fmt.Sprintf("127.80.%d.%d", d.opts.Seed%250, host+1)
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

func newDeployment(o Options, l *ledger) (*deployment, error) {
	d := &deployment{opts: o, store: standin.NewStore(), ledger: l, disturbed: make(map[string]time.Time)}
	listener, err := net.Listen("tcp", net.JoinHostPort(d.ip(249), strconv.Itoa(portStore)))
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }() // ends with Close
	d.configure()
	for i := range o.Hosts + 1 { // the last one has the new version
		version := oldVersion
		if i == o.Hosts {
			version = newVersion
		}
		h := &host{index: i, ip: d.ip(i), version: version}
		d.hosts = append(d.hosts, h)
		if err := d.startHost(h, listener.Addr().String()); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) startHost(h *host, storeAddr string) error {
	for i, target := range []string{h.addr(portForward), h.addr(portPeer), storeAddr} {
		link, err := NewLink(h.addr(portForwardLink+i), target)
		if err != nil {
			return err
		}
		h.links[i] = link
	}
	if err := os.WriteFile(d.settingsPath(h), []byte(d.settings(h)), 0o600); err != nil {
		return err
	}
	if err := d.startNode(h); err != nil {
		return err
	}
	return d.startInstance(h)
}

func (d *deployment) settingsPath(h *host) string {
	return filepath.Join(d.opts.Dir, fmt.Sprintf("host-%d.toml", h.index))
}

func (d *deployment) settings(h *host) string {
	return standin.HostSettings{
		Name: fmt.Sprintf("host-%d", h.index), IP: h.ip, Zone: fmt.Sprintf("zone-%d", h.index%2), Service: serviceName,
		PeerPort: portPeer, GraceSeconds: int(gracePeriod.Seconds()),
		Addresses: standin.Addresses{
			Instance: h.addr(portInstance), Call: h.addr(portCall), Forward: h.addr(portForward), Ready: h.addr(portReady),
			Control: h.addr(portControl), AdvertisedForward: h.addr(portForwardLink), AdvertisedPeer: h.addr(portPeerLink),
			Store: h.addr(portStoreLink),
		},
	}.Text()
}

// startNode starts the host's process. Its output is appended to the host's log.
func (d *deployment) startNode(h *host) error {
	out, err := os.OpenFile(filepath.Join(d.opts.Dir, fmt.Sprintf("host-%d.log", h.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := exec.Command(d.opts.Program, "--settings", d.settingsPath(h))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.ended, h.expected, h.started, h.applied, h.stopping = cmd, ended, false, time.Now(), 0, time.Time{}
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		expected := h.expected
		h.mu.Unlock()
		if !expected {
			d.ledger.broke("host %d: the process has ended by itself: %v", h.index, err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the host's process, which the soak has started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.expected = true
	}
	if s == syscall.SIGTERM {
		h.stopping = time.Now()
	}
	_ = h.cmd.Process.Signal(s) // it may have ended
}

func (h *host) awaitEnd(limit time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (d *deployment) startInstance(h *host) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.instance = standin.NewInstance(standin.InstanceSettings{
		ID: fmt.Sprintf("i-%d-%d", h.index, time.Now().UnixNano()), Service: serviceName, Version: h.version, Zone: fmt.Sprintf("zone-%d", h.index%2),
		Addr: h.addr(portInstance), ControlAddr: h.addr(portControl), Slots: slots, ServiceTime: work, HeartbeatInterval: heartbeat,
		Crash: func() { d.crash(context.Background(), h, time.Now().Add(crashPause), &d.crashes) },
	})
	return h.instance.Start(ctx)
}

// endInstance ends the instance and keeps what it has run.
func (h *host) endInstance() {
	h.cancel()
	h.instance.Close()
	h.runs = append(h.runs, h.instance.Runs()...)
	h.instance = standin.NewInstance(standin.InstanceSettings{Slots: 1}) // runs nothing
}

// configure writes the next configuration. Each version adds a route of its own,
// by which callers see which versions a node has.
func (d *deployment) configure() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	routes := []standin.Route{{Name: "read"}, {Name: "order", NonIdempotent: true}}
	for v := 1; v <= d.version; v++ {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("version-%d", v)})
	}
	err := d.store.Configure(standin.Configuration{
		Version: d.version, Host: hostName, Service: serviceName, Routes: routes, TimeoutMillis: 1500, TargetLatencyMillis: 400,
	})
	if err != nil {
		d.ledger.broke("encode the configuration: %v", err)
	}
	return d.version
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			h.awaitEnd(gracePeriod)
		}
		if h.instance != nil {
			h.endInstance()
		}
		for _, l := range h.links {
			if l != nil {
				l.Close()
			}
		}
	}
	_ = d.server.Close()
}
