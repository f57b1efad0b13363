package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the end of a case.
type verdict struct {
	code int
	text string
}

func held(format string, args ...any) verdict {
	return verdict{exitHeld, "held: " + fmt.Sprintf(format, args...)}
}

func broken(format string, args ...any) verdict {
	return verdict{exitBroken, "broken: " + fmt.Sprintf(format, args...)}
}

func notRun(format string, args ...any) verdict {
	return verdict{exitNotRun, "not run: " + fmt.Sprintf(format, args...)}
}

// Bounds of the settings, as in a small deployment of the users' pages.
const (
	stableWindow  = 3 * time.Second
	applyDeadline = 2 * time.Second
	heartbeat     = 870 * time.Millisecond
)

// Ports of a host, below those that the kernel gives out. Each host has an address of its
// own.
const (
	portReady    = 18141
	portControl  = 18144
	portInstance = 18145
	portInbound  = 18146
	portOutbound = 18147
	portPeer     = 17380
	portStore    = 18142
)

// world is the deployment of a case.
type world struct {
	program string
	trouble bool
	dir     string
	subnet  string // "127.x.y"
	store   *standin.Store
	server  *http.Server
	hosts   []*host
	started time.Time
	// memoryMb and bandwidthMbps are the memory and the link of each machine.
	memoryMb, bandwidthMbps int

	closing sync.Once
	mu      sync.Mutex
	lines   []string
}

// host is a machine: a sidecar process and an instance.
type host struct {
	name, ip, zone, service string
	instance                *instance
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func newWorld(program string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "chicory-review-")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, dir: dir, store: standin.NewStore(), started: time.Now(), memoryMb: 284, bandwidthMbps: 1000}
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", w.subnet, portStore))
		if err != nil {
			continue
		}
		w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
		go func() { _ = w.server.Serve(l) }() // ends with close
		return w, nil
	}
	return nil, fmt.Errorf("no free loopback address")
}

// log adds a line to the record.
func (w *world) log(kind, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-10s ", time.Since(w.started).Seconds(), kind) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line)
}

func (w *world) writeRecord(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
}

// zones are the failure domains, to which hosts are assigned in turn.
var zones = []string{"mvd-centro", "mvd-pocitos", "mvd-prado"}

// addHost starts the sidecar of a host with an instance of the service.
func (w *world) addHost(service string, s instanceSettings) (*host, error) {
	i := len(w.hosts)
	h := &host{
		name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("%s.%d", w.subnet, i+1), zone: zones[i%len(zones)], service: service,
	}
	settings := filepath.Join(w.dir, h.name+".toml")
	if err := os.WriteFile(settings, []byte(w.settings(h)), 0o600); err != nil {
		return nil, err
	}
	if err := h.startProcess(w); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	s.service, s.zone = service, h.zone
	h.instance = newInstance(w, h, s)
	return h, h.instance.start()
}

// startProcess starts the sidecar of the host.
func (h *host) startProcess(w *world) error {
	output, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	cmd := exec.Command(w.program)
	cmd.Env = append(os.Environ(), "CHICORYSCALE_CONFIG="+filepath.Join(w.dir, h.name+".toml"))
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	w.log("start", "the sidecar of %s, service %s", h.name, h.service)
	go func() {
		err := cmd.Wait()
		w.log("ended", "the sidecar of %s: %v", h.name, err)
		close(exited)
	}()
	return nil
}

func (w *world) settings(h *host) string {
	return fmt.Sprintf(`Node = %q
Role = "sidecar"
MachineClass = "sidecar"
Serves = ["sidecar"]
IpAddress = %q
Zone = %q
Region = "mvd"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = true
CountsTowardLoss = false
Discovery = "local"
Entry = "local"
HeartbeatMs = %d
Contracts = ["base","drain","config","cost","retry","recover","rollout","platform"]
Bounds = ["SeedPropagationS=3","ReuseAfterS=2","StableWindowMs=3000","AckTimeoutMs=4000","CatchUpS=4","DrainMs=2000","GraceS=6","LossSlackMs=200","ApplyDeadlineMs=2000","DowngradeSlackMs=250","MaxStretchMs=5000","BudgetRatio=0.2","BudgetWindowS=10","BudgetExtraTries=64","ExposureShare=0.1","ExposureSlack=50","RollbackMs=5000","RecoveryS=15"]
AppAddress = %q
Service = %q
[Zones]
mvd-centro = "mvd"
mvd-pocitos = "mvd"
mvd-prado = "mvd"
[Listen]
Inbound = %q
Outbound = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.32
Cores = 1
MemoryMb = %d
FileDescriptors = 4100
BandwidthMbps = %d.0
DiskMb = 0
[Tolerate]
Machines = 2
Zones = 1
Regions = 0
[Platform]
Address = "%s.250:%d"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TransactionMs = 5.0
PartWritesPerS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbPerS = 80.0
`, h.name, h.ip, h.zone, portPeer, portPeer+15, heartbeat.Milliseconds(), h.addr(portInstance), h.service,
		h.addr(portInbound), h.addr(portOutbound), h.addr(portReady), h.addr(portControl), w.memoryMb, w.bandwidthMbps, w.subnet, portStore)
}

// awaitReady waits until all nodes say that they are ready, and then for the stable window.
func (w *world) awaitReady() bool {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if resp, err := http.Get("http://" + h.addr(portReady) + "/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) {
			time.Sleep(stableWindow + time.Second)
			w.log("ready", "all %d nodes", ready)
			return true
		}
	}
	return false
}

// object is a JSON object.
type object map[string]any

// route is a route of the configuration.
type route struct {
	name, host, prefix, service string
	kind                        string
	timeoutMs, targetMs         int
	attempts                    int
}

// configure writes a configuration, as the operator does.
func (w *world) configure(version int, services []string, routes []route) error {
	resources := []any{object{"EntryKind": "Limits", "Metadata": object{"Name": "limits"}, "Specification": object{
		"HeaderBytes": 16384, "BodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000,
	}}}
	for _, s := range services {
		resources = append(resources, object{"EntryKind": "Services", "Metadata": object{"Name": s}, "Specification": object{
			"MaxConnections": 130, "HealthPath": "/health",
		}})
	}
	for _, r := range routes {
		resources = append(resources, object{"EntryKind": "Routes", "Metadata": object{"Name": r.name}, "Specification": object{
			"Host": r.host, "Prefix": r.prefix, "Kind": r.kind, "TimeoutMs": r.timeoutMs, "TargetLatencyMs": r.targetMs,
			"Priority": 1, "Attempts": r.attempts, "Service": r.service,
		}})
	}
	text, err := json.Marshal(object{"Version": fmt.Sprintf("r%d", version), "Resources": resources})
	if err != nil {
		return err
	}
	w.store.Put("op", "config", text)
	w.log("operator", "configuration r%d with %d routes", version, len(routes))
	return nil
}

// close ends all processes that this one has started.
func (w *world) close() { w.closing.Do(w.endAll) }

func (w *world) endAll() {
	for _, h := range w.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		<-h.exited
		h.instance.stop()
	}
	_ = w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}
