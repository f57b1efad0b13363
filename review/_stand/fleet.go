// Command stand runs the cases of the review: it starts the sidecars of a small
// deployment as processes and plays the platform, the instances and the clients.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portOutbound = 21301 + iota
	portInbound
	portReady
	portControl
	portPeer
	portMetrics
	portInstance
	portInboundLink
	portPeerLink
	portStore
)

// sidecar is the program and its arguments as in the deploy file.
const sidecar = "target/chicory-sidecar"

const (
	hostName    = "ficu95.example"
	graceS      = 6
	drainMs     = 2000
	stableMs    = 3000
	heartbeatMs = 1500
)

// record writes the observations of a run, with the time in ms since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f  %s\n", float64(time.Since(r.started).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// fleet is one deployment.
type fleet struct {
	rec   *record
	dir   string // settings and logs
	net   string // first three bytes of the addresses
	store *standin.Store
	web   *http.Server
	hosts []*host
}

// host is one machine with its sidecar process and its instance.
type host struct {
	fleet    *fleet
	index    int
	ip       string
	zone     string
	service  string
	links    bool // peers reach this machine by proxies
	inbound  *link
	peers    *link
	instance *instance

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "chicory-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: standin.NewStore()}
	var l net.Listener
	for try := 0; ; try++ { // the first network whose ports are free
		f.net = fmt.Sprintf("127.%d.%d", 90+(os.Getpid()+try)%100, (os.Getpid()/100)%250)
		if l, err = net.Listen("tcp", net.JoinHostPort(f.net+".250", strconv.Itoa(portStore))); err == nil {
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	f.web = &http.Server{Handler: f.store}
	go func() { _ = f.web.Serve(l) }()
	return f, nil
}

// addHost adds a machine. Its process and its instance are not started yet.
func (f *fleet) addHost(zone, service string) *host {
	h := &host{fleet: f, index: len(f.hosts), zone: zone, service: service}
	h.ip = fmt.Sprintf("%s.%d", f.net, h.index+1)
	f.hosts = append(f.hosts, h)
	return h
}

func (h *host) name() string         { return fmt.Sprintf("sidecar-%s-%d", h.zone, h.index+1) }
func (h *host) settingsPath() string { return filepath.Join(h.fleet.dir, h.name()+".toml") }

// writeSettings writes the machine's settings file in the form of DEPLOY.md.
func (h *host) writeSettings() error {
	var b strings.Builder
	fmt.Fprintf(&b, "Node = %q\nRole = \"sidecar\"\nMachineClass = \"sidecar\"\nServes = [\"sidecar\"]\nIpAddress = %q\nZone = %q\nRegion = \"moyen-atlas\"\n", h.name(), h.ip, h.zone)
	fmt.Fprintf(&b, "InternalPorts = [%d,%d]\nSeeds = []\nBootstrap = true\nCountsTowardLoss = false\nDiscovery = \"local\"\nEntry = \"local\"\nHeartbeatMs = %d\n", portPeer, portMetrics, heartbeatMs)
	b.WriteString("Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"rollout\",\"platform\"]\n")
	fmt.Fprintf(&b, "Bounds = [\"SeedPropagationS=3\",\"ReuseAfterS=2\",\"StableWindowMs=%d\",\"AckTimeoutMs=4000\",\"CatchUpS=4\",\"DrainMs=%d\",\"GraceS=%d\",\"LossSlackMs=200\",\"ApplyDeadlineMs=2000\",\"DowngradeSlackMs=250\",\"MaxStretchMs=5000\",\"BudgetRatio=0.2\",\"BudgetWindowS=10\",\"BudgetExtraTries=58\",\"ExposureShare=0.1\",\"ExposureSlack=50\",\"RollbackMs=5000\",\"RecoveryS=15\"]\n", stableMs, drainMs, graceS)
	fmt.Fprintf(&b, "AppAddress = %q\nService = %q\n[Listen]\nInbound = %q\nOutbound = %q\nReady = %q\nControl = %q\n", h.addr(portInstance), h.service, h.addr(portInbound), h.addr(portOutbound), h.addr(portReady), h.addr(portControl))
	if h.links {
		fmt.Fprintf(&b, "[Advertise]\nInbound = %q\nPeer = %q\n", h.addr(portInboundLink), h.addr(portPeerLink))
	}
	b.WriteString("[Limits]\nCpuShare = 0.32\nCores = 1\nMemoryMb = 284\nFileDescriptors = 4100\nBandwidthMbps = 1000.0\nDiskMb = 0\n[Tolerate]\nMachines = 2\nZones = 1\nRegions = 0\n")
	fmt.Fprintf(&b, "[Platform]\nAddress = %q\nform = \"table\"\nWritesPerS = 400\nReadsPerS = 2000\nTransactionMs = 5.0\nPartWritesPerS = 200\nRowBytes = 65536\nAcross = false\nHistoryS = 20\n", net.JoinHostPort(h.fleet.net+".250", strconv.Itoa(portStore)))
	return os.WriteFile(h.settingsPath(), []byte(b.String()), 0o600)
}

// start starts the sidecar process.
func (h *host) start() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.fleet.dir, h.name()+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(sidecar)
	cmd.Env = []string{"CHICORYSCALE_CONFIG=" + h.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() { _ = cmd.Wait(); close(exited) }()
	h.fleet.rec.add("process of %s started, service %s", h.name(), h.service)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// startMachine starts the proxies, the sidecar process and the instance of a machine.
func (h *host) startMachine() error {
	if h.links {
		var err error
		if h.inbound, err = newLink(h.addr(portInboundLink), h.addr(portInbound), dialInbound, userTimeout); err != nil {
			return err
		}
		if h.peers, err = newLink(h.addr(portPeerLink), h.addr(portPeer), dialPeers, noUserTimeout); err != nil {
			return err
		}
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.instance.start()
}

// startAll starts all processes and instances and waits until all nodes are ready.
func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := h.startMachine(); err != nil {
			return err
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return errors.New("not all nodes became ready")
	}
	return nil
}

func (f *fleet) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if resp, err := client.Get("http://" + h.addr(portReady) + "/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.hosts) {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
		if h.instance != nil {
			h.instance.close()
		}
		if h.inbound != nil {
			h.inbound.close()
			h.peers.close()
		}
	}
	_ = f.web.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

type object map[string]any

// route is a route of the configuration.
type route struct {
	name, service, kind string
	timeoutMs, targetMs int
	attempts            int
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, services []string, routes []route) error {
	resources := []any{object{"EntryKind": "Limits", "Metadata": object{"Name": "limits"}, "Specification": object{
		"HeaderBytes": 16384, "BodyBytes": 1048576, "HeaderTimeoutMs": 4000, "IdleTimeoutMs": 30000}}}
	for _, s := range services {
		resources = append(resources, object{"EntryKind": "Services", "Metadata": object{"Name": s}, "Specification": object{"MaxConnections": 110, "HealthPath": "/health"}})
	}
	for _, r := range routes {
		resources = append(resources, object{"EntryKind": "Routes", "Metadata": object{"Name": r.name}, "Specification": object{
			"Host": hostName, "Prefix": "/" + r.name + "/", "Kind": r.kind, "TimeoutMs": r.timeoutMs, "TargetLatencyMs": r.targetMs,
			"Priority": 1, "Attempts": r.attempts, "Service": r.service}})
	}
	text, err := json.Marshal(object{"Version": fmt.Sprintf("r%d", version), "Resources": resources})
	if err != nil {
		return err
	}
	f.store.Put("op", "config", text)
	f.rec.add("operator: configuration r%d acknowledged", version)
	return nil
}
