// Package soak runs the real programs as processes on loopback addresses, injects
// faults from outside these processes and checks the system's guarantees against
// what callers and instances observe.
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

// Port numbers, which are the same on every host because each host has an IP
// address of its own. The link ports belong to the fault-injecting proxies.
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
	serviceName         = "svc"
	hostName            = "app.example"
	oldVersion          = "v1"
	newVersion          = "v2"
	slotsPerInstance    = 6
	serviceTime         = 30 * time.Millisecond
	heartbeatInterval   = 300 * time.Millisecond
	shutdownGracePeriod = 6 * time.Second
	// crashDowntime is the time after which an instance that a request has crashed is
	// started again.
	crashDowntime = time.Second
)

// Options configure a run.
type Options struct {
	Seed   uint64
	Length time.Duration // approximate duration of the run
	Hosts  int           // hosts of the old version; one host of the new version is added
	// Program is the path of chicory-sidecar. Settings, logs, the schedule and the
	// report are written to Dir.
	Program string
	Dir     string
}

// deployment consists of a store, hosts with their instances, and the
// fault-injecting links between hosts and to the store.
type deployment struct {
	opts           Options
	store          *standin.Store
	storeServer    *http.Server
	hosts          []*host
	ledger         *ledger
	mu             sync.Mutex
	configVersion  int
	requestCrashes int                  // instances crashed by requests
	faultEnds      map[string]time.Time // latest end of the unplanned faults, by cause
}

// host simulates one machine: a sidecar process and an application instance with
// an IP address of their own.
type host struct {
	index          int
	ip             string
	version        string   // of the instance
	links          [3]*Link // in front of the forward, peer and store addresses
	instance       *standin.Instance
	endedRuns      []standin.Run // of this host's earlier instances
	instanceDown   bool          // the instance has crashed and is not restarted yet
	cancelInstance context.CancelFunc

	mu             sync.Mutex
	cmd            *exec.Cmd
	processExited  chan struct{} // closed when the process has exited
	stopStarted    time.Time     // when a planned stop was requested, otherwise zero
	exitExpected   bool          // this package has sent the process SIGTERM or SIGKILL
	processStarted time.Time
	newestApplied  int // newest configuration version observed in this process
}

func (d *deployment) ip(index int) string {
	return fmt.Sprintf("127.80.%d.%d", d.opts.Seed%250, index+1)
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

func newDeployment(o Options, l *ledger) (*deployment, error) {
	d := &deployment{opts: o, store: standin.NewStore(), ledger: l, faultEnds: make(map[string]time.Time)}
	listener, err := net.Listen("tcp", net.JoinHostPort(d.ip(249), strconv.Itoa(portStore)))
	if err != nil {
		return nil, err
	}
	d.storeServer = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.storeServer.Serve(listener) }() // returns when close closes the server
	d.publishConfig()
	for index := range o.Hosts + 1 { // the last host runs the new version
		version := oldVersion
		if index == o.Hosts {
			version = newVersion
		}
		h := &host{index: index, ip: d.ip(index), version: version}
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
		PeerPort: portPeer, GraceSeconds: int(shutdownGracePeriod.Seconds()),
		Addresses: standin.Addresses{
			Instance: h.addr(portInstance), Call: h.addr(portCall), Forward: h.addr(portForward), Ready: h.addr(portReady),
			Control: h.addr(portControl), AdvertisedForward: h.addr(portForwardLink), AdvertisedPeer: h.addr(portPeerLink),
			Store: h.addr(portStoreLink),
		},
	}.Text()
}

// startNode starts the host's sidecar process. Its output is appended to the
// host's log.
func (d *deployment) startNode(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(d.opts.Dir, fmt.Sprintf("host-%d.log", h.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has inherited its own descriptor
	cmd := exec.Command(d.opts.Program, "--settings", d.settingsPath(h))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.processExited, h.exitExpected, h.processStarted, h.newestApplied, h.stopStarted = cmd, exited, false, time.Now(), 0, time.Time{}
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		exitExpected := h.exitExpected
		h.mu.Unlock()
		if !exitExpected {
			d.ledger.recordViolation("host %d: the process exited by itself: %v", h.index, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the host's sidecar process. It records SIGTERM and
// SIGKILL, so that the exit counts as expected.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.exitExpected = true
	}
	if s == syscall.SIGTERM {
		h.stopStarted = time.Now()
	}
	_ = h.cmd.Process.Signal(s) // the process may have exited
}

func (h *host) awaitExit(limit time.Duration) bool {
	h.mu.Lock()
	exited := h.processExited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (d *deployment) startInstance(h *host) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancelInstance = cancel
	h.instance = standin.NewInstance(standin.InstanceSettings{
		ID: fmt.Sprintf("i-%d-%d", h.index, time.Now().UnixNano()), Service: serviceName, Version: h.version, Zone: fmt.Sprintf("zone-%d", h.index%2),
		Addr: h.addr(portInstance), ControlAddr: h.addr(portControl), Slots: slotsPerInstance, ServiceTime: serviceTime, HeartbeatInterval: heartbeatInterval,
		Crash: func() { d.crashInstance(context.Background(), h, time.Now().Add(crashDowntime), &d.requestCrashes) },
	})
	return h.instance.Start(ctx)
}

// stopInstance stops the instance and keeps the record of the requests that it ran.
func (h *host) stopInstance() {
	h.cancelInstance()
	h.instance.Close()
	h.endedRuns = append(h.endedRuns, h.instance.Runs()...)
	h.instance = standin.NewInstance(standin.InstanceSettings{Slots: 1}) // placeholder without runs until startInstance
}

// publishConfig writes the next configuration to the store and returns its version.
// Each version adds a route named after it, so that a request to this route shows
// whether a node has applied the version.
func (d *deployment) publishConfig() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion++
	routes := []standin.Route{{Name: "read"}, {Name: "order", NonIdempotent: true}}
	for v := 1; v <= d.configVersion; v++ {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("version-%d", v)})
	}
	err := d.store.Configure(standin.Configuration{
		Version: d.configVersion, Host: hostName, Service: serviceName, Routes: routes, TimeoutMillis: 1500, TargetLatencyMillis: 400,
	})
	if err != nil {
		d.ledger.recordViolation("encode the configuration: %v", err)
	}
	return d.configVersion
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			h.awaitExit(shutdownGracePeriod)
		}
		if h.instance != nil {
			h.stopInstance()
		}
		for _, l := range h.links {
			if l != nil {
				l.Close()
			}
		}
	}
	_ = d.storeServer.Close()
}
