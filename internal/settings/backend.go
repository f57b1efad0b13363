package settings

import (
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Backend holds the settings of chicory-backend.
type Backend struct {
	Instance mesh.InstanceID
	Service  mesh.Service
	Version  mesh.BackendVersion
	// Address serves calls, the health endpoint and the list of executed requests,
	// as "IP:port".
	Address string
	// Node is the peers address of the node on this host, to which the server
	// sends its announcements.
	Node string
	// Slots is the largest number of calls that run at once. QueueLength is the
	// largest number of calls that wait for a slot; further calls are shed.
	Slots       int
	QueueLength int
	// AnnounceInterval is the time between announcements to the node. An
	// announcement expires after Lease.
	AnnounceInterval time.Duration
	Lease            time.Duration
	// DrainGrace is the longest time that a stopping server waits for calls in
	// progress.
	DrainGrace time.Duration
	// BodyBytes is the largest request body, in bytes.
	BodyBytes int
	// CrashMarker is a text that crashes the server if a request body contains it.
	// If it is empty, no request crashes the server.
	CrashMarker string
	// Seed is the seed of the random generator for service times and faults.
	Seed        uint64
	ServiceTime ServiceTime
	ColdStart   ColdStart
	Health      Health
	Fault       BackendFault
}

// Distribution is the name of a distribution of service times.
type Distribution string

// Distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// ServiceTime describes the time for which a call occupies a slot.
type ServiceTime struct {
	Distribution Distribution
	Mean         time.Duration
	// Sigma is the standard deviation of the logarithm of the service time. Only
	// Lognormal uses it.
	Sigma float64
}

// ColdStart describes the slowdown after the start of the process. Service times
// are multiplied by a factor that falls linearly from Factor to 1 over Time.
type ColdStart struct {
	Time   time.Duration
	Factor float64
}

// Health describes how the report of the health endpoint differs from the actual
// state of the server.
type Health struct {
	// Lag is the age of the state that the endpoint reports.
	Lag time.Duration
	// AlwaysReady makes the endpoint report an idle and ready server, whatever the
	// state.
	AlwaysReady bool
}

// FaultMode is the effect of a simulated fault on a call.
type FaultMode string

// Fault modes.
const (
	NoFault FaultMode = "none"
	// FailMode answers an affected call with status 500.
	FailMode FaultMode = "fail"
	// SlowMode multiplies the service time of an affected call.
	SlowMode FaultMode = "slow"
)

// BackendFault describes the simulated fault of a faulty version. A call that
// meets the conditions After, AboveSlots and PathPrefix is affected with the
// probability Share.
type BackendFault struct {
	Mode FaultMode
	// SlowFactor multiplies the service time in SlowMode.
	SlowFactor float64
	// After is the time since the start of the process from which on calls are
	// affected.
	After time.Duration
	// AboveSlots is the number of slots in use above which calls are affected.
	AboveSlots int
	// PathPrefix limits the fault to calls whose path starts with it.
	PathPrefix string
	// Share is the share of the calls that meet the conditions, 0 to 1, that are
	// affected.
	Share float64
}

// ParseBackend reads the settings of chicory-backend.
func ParseBackend(file string, data []byte) (*Backend, error) { return parse(file, data, readBackend) }

func readBackend(t table) *Backend {
	b := &Backend{
		Instance:         mesh.InstanceID(t.name("instance")),
		Service:          mesh.Service(t.name("service")),
		Version:          readVersion(t, "version"),
		Address:          t.address("address"),
		Node:             t.address("node"),
		Slots:            t.count("slots", 9, 1, 10_000),
		QueueLength:      t.count("queue_length", 0, 0, 100_000),
		AnnounceInterval: t.millis("announce_interval_ms", time.Second, 10*time.Millisecond, time.Minute),
		Lease:            t.millis("lease_ms", 3*time.Second, 20*time.Millisecond, 10*time.Minute),
		DrainGrace:       t.millis("drain_grace_ms", 30*time.Second, 0, 10*time.Minute),
		BodyBytes:        t.count("body_bytes", 1<<20, 1<<10, 64<<20),
		CrashMarker:      t.String("crash_marker", ""),
		Seed:             uint64(t.Int("seed", 1, 0, 1<<62)),
		ServiceTime:      readServiceTime(t.subtable("service_time")),
		ColdStart:        readColdStart(t.subtable("cold_start")),
		Health:           readHealth(t.subtable("health")),
	}
	b.Fault = readBackendFault(t.subtable("fault"), b.Slots)
	requireAbove(t, "lease_ms", b.Lease, "announce_interval_ms", b.AnnounceInterval)
	return b
}

// readVersion reads the version of a backend server. Unlike a name, a version may
// contain dots and may start with any of the allowed characters.
func readVersion(t table, key string) mesh.BackendVersion {
	t.Require(key)
	version := t.String(key, "")
	allowed := func(c rune) bool {
		return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_'
	}
	rest := strings.TrimLeftFunc(version, allowed)
	if t.Has(key) && (version == "" || len(version) > 64 || rest != "") {
		t.AddFaultf(key, "%q: want 1 to 64 lower-case letters, digits, '.', '-' and '_'", version)
	}
	return mesh.BackendVersion(version)
}

func readServiceTime(t table) ServiceTime {
	return ServiceTime{
		Distribution: Distribution(t.oneOf("distribution", string(Fixed), string(Fixed), string(Exponential), string(Lognormal))),
		Mean:         t.millis("mean_ms", 10*time.Millisecond, 0, time.Minute),
		Sigma:        t.Float("sigma", 0.5, 0, 3),
	}
}

func readColdStart(t table) ColdStart {
	return ColdStart{
		Time:   t.millis("time_ms", 0, 0, 10*time.Minute),
		Factor: t.Float("factor", 1, 1, 1000),
	}
}

func readHealth(t table) Health {
	return Health{
		Lag:         t.millis("lag_ms", 0, 0, 10*time.Minute),
		AlwaysReady: t.Bool("always_ready", false),
	}
}

func readBackendFault(t table, slots int) BackendFault {
	return BackendFault{
		Mode:       FaultMode(t.oneOf("mode", string(NoFault), string(NoFault), string(FailMode), string(SlowMode))),
		SlowFactor: t.Float("slow_factor", 10, 1, 1000),
		After:      t.millis("after_ms", 0, 0, 24*time.Hour),
		AboveSlots: t.count("above_slots", 0, 0, slots-1),
		PathPrefix: t.String("path_prefix", ""),
		Share:      t.Float("share", 1, 0, 1),
	}
}
