package settings

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Node holds the settings of chicory-node.
type Node struct {
	Host          mesh.HostID
	FailureDomain mesh.FailureDomain
	Addresses     NodeAddresses
	// Seeds are the control addresses of other nodes, which the node contacts in
	// order to join.
	Seeds    []string
	Platform PlatformClient
	Limits   Limits
}

// NodeAddresses are the addresses on which a node listens, as "IP:port".
type NodeAddresses struct {
	// Calls accepts calls from callers.
	Calls string
	// Peers serves calls that other nodes forward and announcements of backend
	// servers.
	Peers string
	// Control serves control messages and operator commands.
	Control string
	// Metrics serves the endpoint from which metrics are scraped.
	Metrics string
}

// PlatformClient holds the settings of the client for the platform.
type PlatformClient struct {
	// Table and Objects are the addresses of the table and the object store, as
	// "IP:port". Objects defaults to Table.
	Table   string
	Objects string
	// Timeout bounds one operation.
	Timeout time.Duration
	// Connections is the largest number of connections to the table and to the
	// object store, each.
	Connections int
}

// Limits bound the resources of a node.
type Limits struct {
	// ConnectionsPerInstance is the size of the connection pool of an instance.
	ConnectionsPerInstance int
	// BodyBytes is the largest size of a request or response body, in bytes.
	BodyBytes int
	// DrainGrace is the longest time that a stopping node waits for calls in
	// progress.
	DrainGrace time.Duration
	// TimelineEvents is the capacity of the ring buffer of timeline events.
	TimelineEvents int
}

// ParseNode reads the settings of chicory-node.
func ParseNode(file string, data []byte) (*Node, error) { return parse(file, data, readNode) }

func readNode(t table) *Node {
	return &Node{
		Host:          mesh.HostID(t.name("host")),
		FailureDomain: mesh.FailureDomain(t.name("failure_domain")),
		Addresses:     readNodeAddresses(t.subtable("addresses")),
		Seeds:         t.addresses("seeds", 0, 32),
		Platform:      readPlatformClient(t.subtable("platform")),
		Limits:        readLimits(t.subtable("limits")),
	}
}

func readNodeAddresses(t table) NodeAddresses {
	a := NodeAddresses{
		Calls:   t.address("calls"),
		Peers:   t.address("peers"),
		Control: t.address("control"),
		Metrics: t.address("metrics"),
	}
	keyByAddress := map[string]string{}
	for _, entry := range [...]struct{ key, addr string }{
		{"calls", a.Calls}, {"peers", a.Peers}, {"control", a.Control}, {"metrics", a.Metrics}} {
		if earlierKey, ok := keyByAddress[entry.addr]; ok && entry.addr != "" {
			t.AddFaultf(entry.key, "is the same address as %s", t.KeyPath(earlierKey))
		}
		keyByAddress[entry.addr] = entry.key
	}
	return a
}

func readPlatformClient(t table) PlatformClient {
	p := PlatformClient{
		Table:       t.address("table"),
		Timeout:     t.millis("timeout_ms", time.Second, 10*time.Millisecond, time.Minute),
		Connections: t.count("connections", 4, 1, 256),
	}
	p.Objects = t.optionalAddress("objects", p.Table)
	return p
}

func readLimits(t table) Limits {
	return Limits{
		ConnectionsPerInstance: t.count("connections_per_instance", 110, 1, 10_000),
		BodyBytes:              t.count("body_bytes", 1<<20, 1<<10, 64<<20),
		DrainGrace:             t.millis("drain_grace_ms", 30*time.Second, 0, 10*time.Minute),
		TimelineEvents:         t.count("timeline_events", 4096, 16, 1<<20),
	}
}
