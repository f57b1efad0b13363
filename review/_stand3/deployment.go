// Command stand runs a small deployment of chicory-sidecar processes on loopback addresses
// with stand-ins of the platform, the instances and the clients, for the cases of the third
// review. The first argument names the case.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// Ports of each host, which has a loopback address of its own.
const (
	portReady = 8141 + iota
	portStore
	portControl
	portInstance
	portInbound
	portOutbound
	portPeer // the next one is that of the metrics
)

// Bounds of the small deployments (SYSTEM.md).
const (
	applyDeadline = 2 * time.Second
	drainTime     = 2 * time.Second
	stableWindow  = 3 * time.Second
	heartbeatTime = 870 * time.Millisecond
	slots         = 9
)

// host is one machine: a sidecar process and its instance.
type host struct {
	name, zone, service, ip     string
	memoryMb, descriptors, mbps int
	instance                    *standin.Instance
	instanceID                  string
	stopInstance                context.CancelFunc
	process                     *exec.Cmd
	exited                      chan struct{}
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// deployment is a store with its hosts.
type deployment struct {
	dir, program string
	network      string // first two numbers of all addresses
	store        *standin.Store
	server       *http.Server
	storeAddr    string
	zones        []string
	hosts        []*host
	record       *record
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// newDeployment starts a store at a free loopback address. The processes are not started yet.
func newDeployment(program string, r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, program: program, store: standin.NewStore(), record: r}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		d.storeAddr = net.JoinHostPort(d.network+".250", strconv.Itoa(portStore))
		l, err := net.Listen("tcp", d.storeAddr)
		if err != nil {
			continue
		}
		d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
		go func() { _ = d.server.Serve(l) }()
		return d, nil
	}
	return nil, fmt.Errorf("no free loopback address")
}

func (d *deployment) addHost(zone, service string) *host {
	n := len(d.hosts) + 1
	h := &host{name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, ip: fmt.Sprintf("%s.%d", d.network, n), memoryMb: 284, descriptors: 4100, mbps: 1000}
	d.hosts = append(d.hosts, h)
	return h
}

// settings returns the settings file of a host, in the form that DEPLOY.md shows.
func (d *deployment) settings(h *host) string {
	var zones strings.Builder
	for _, z := range d.zones {
		fmt.Fprintf(&zones, "%s = \"region\"\n", z)
	}
	return fmt.Sprintf(`Node = %q
Role = "sidecar"
MachineClass = "sidecar"
Serves = ["sidecar"]
IpAddress = %q
Zone = %q
Region = "region"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = true
HeartbeatMs = %d
Bounds = ["SeedPropagationS=3","ReuseAfterS=2","StableWindowMs=3000","AckTimeoutMs=4000","CatchUpS=4","DrainMs=2000","GraceS=6","LossSlackMs=200","ApplyDeadlineMs=2000","DowngradeSlackMs=250","MaxStretchMs=5000","BudgetRatio=0.2","BudgetWindowS=10","BudgetExtraTries=58","ExposureShare=0.1","ExposureSlack=50","RollbackMs=5000","RecoveryS=15"]
AppAddress = %q
Service = %q
[Zones]
%s[Listen]
Inbound = %q
Outbound = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.32
Cores = 1
MemoryMb = %d
FileDescriptors = %d
BandwidthMbps = %d.0
DiskMb = 0
[Platform]
Address = %q
form = "table"
`, h.name, h.ip, h.zone, portPeer, portPeer+15, heartbeatTime.Milliseconds(), h.addr(portInstance), h.service, zones.String(),
		h.addr(portInbound), h.addr(portOutbound), h.addr(portReady), h.addr(portControl), h.memoryMb, h.descriptors, h.mbps, d.storeAddr)
}

// startProcess starts the sidecar with the command of the deploy file.
func (d *deployment) startProcess(h *host) error {
	path := filepath.Join(d.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(h)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.process = exec.Command(d.program)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "CHICORYSCALE_CONFIG=" + path}
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	d.record.line("process of %s started, id %d", h.name, h.process.Process.Pid)
	h.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		d.record.line("process of %s ended: %v", h.name, p.ProcessState)
		close(exited)
	}(h.process, h.exited)
	return nil
}

// alive reports whether the host's process runs.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// startInstance starts an instance that serves and sends heartbeats.
func (d *deployment) startInstance(h *host, id string, work time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.stopInstance, h.instanceID = cancel, id
	h.instance = standin.NewInstance(standin.InstanceSettings{
		ID: id, Service: h.service, Version: "v1", Zone: h.zone, Addr: h.addr(portInstance), ControlAddr: h.addr(portControl),
		Slots: slots, ServiceTime: work, HeartbeatInterval: heartbeatTime,
	})
	return h.instance.Start(ctx)
}

// start starts all hosts.
func (d *deployment) start(work time.Duration) error {
	for _, h := range d.hosts {
		if err := d.startProcess(h); err != nil {
			return err
		}
		if err := d.startInstance(h, fmt.Sprintf("i-%08x", rand.Uint32()), work); err != nil {
			return err
		}
		d.record.line("instance %s of service %s runs beside %s", h.instanceID, h.service, h.name)
	}
	return nil
}

// ready reports whether the node of a host answers its readiness check.
func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.addr(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (d *deployment) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range d.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// close ends all processes that were started.
func (d *deployment) close(keep bool) {
	for _, h := range d.hosts {
		if h.process != nil && h.process.Process != nil && h.alive() {
			_ = h.process.Process.Signal(syscall.SIGCONT)
			_ = h.process.Process.Kill()
			<-h.exited
		}
		if h.instance != nil {
			h.stopInstance()
			h.instance.Close()
		}
	}
	_ = d.server.Close()
	if !keep {
		_ = os.RemoveAll(d.dir)
	}
}

// route is a route of the configuration. Its prefix is its name.
type route struct {
	name, service string
	unsafe        bool
	timeoutMs     int
}

const routeHost = "ficu95.example"

type object map[string]any

// configure writes a configuration, as the operator does.
func (d *deployment) configure(version int, routes []route) error {
	resources := []any{object{"EntryKind": "Limits", "Metadata": object{}, "Specification": object{
		"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}}
	known := make(map[string]bool)
	for _, r := range routes {
		if !known[r.service] {
			known[r.service] = true
			resources = append(resources, object{"EntryKind": "Services", "Metadata": object{"Name": r.service}, "Specification": object{"HealthPath": "/health", "MaxConnections": 110}})
		}
		kind := "idempotent"
		if r.unsafe {
			kind = "non_idempotent"
		}
		resources = append(resources, object{"EntryKind": "Routes", "Metadata": object{"Name": "r-" + r.name}, "Specification": object{
			"Host": routeHost, "Prefix": "/" + r.name + "/", "Kind": kind, "TimeoutMs": r.timeoutMs, "TargetLatencyMs": 400, "Priority": 1, "Service": r.service, "Attempts": 2}})
	}
	text, err := json.Marshal(object{"Version": fmt.Sprintf("r%d", version), "Resources": resources})
	if err != nil {
		return err
	}
	d.store.Put("op", "config", text)
	d.record.line("operator: configuration r%d", version)
	return nil
}
