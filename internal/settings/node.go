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
	// Seeds are control addresses of other nodes, for joining.
	Seeds    []string
	Platform PlatformClient
	Limits   Limits
}

// NodeAddresses are the addresses on which a node listens, as "IP:port".
type NodeAddresses struct {
	// Calls serves callers.
	Calls string
	// Peers serves forwarded calls of other nodes and announcements of backend
	// servers.
	Peers string
	// Control serves control messages and operator commands.
	Control string
	// Metrics serves the scrape endpoint.
	Metrics string
}

// PlatformClient tells how a node reaches the platform.
type PlatformClient struct {
	// Table and Objects are addresses as "IP:port".
	Table   string
	Objects string
	// Timeout bounds one operation.
	Timeout time.Duration
	// Connections is the largest number of connections to each service.
	Connections int
}

// Limits bound the resources of a node.
type Limits struct {
	// ConnectionsPerInstance is the size of the connection pool of an instance.
	ConnectionsPerInstance int
	// BodyBytes is the largest request or response body, in bytes.
	BodyBytes int
	// DrainGrace is the longest time that a stopping node waits for calls.
	DrainGrace time.Duration
	// TimelineEvents is the size of the ring of timeline events.
	TimelineEvents int
}

// ParseNode reads the settings of chicory-node.
func ParseNode(file string, data []byte) (*Node, error) { return parse(file, data, readNode) }

func readNode(t table) *Node {
	return &Node{
		Host:          mesh.HostID(t.name("host")),
		FailureDomain: mesh.FailureDomain(t.name("failure_domain")),
		Addresses:     readNodeAddresses(t.sub("addresses")),
		Seeds:         t.addresses("seeds", 0, 32),
		Platform:      readPlatformClient(t.sub("platform")),
		Limits:        readLimits(t.sub("limits")),
	}
}

func readNodeAddresses(t table) NodeAddresses {
	a := NodeAddresses{
		Calls:   t.address("calls"),
		Peers:   t.address("peers"),
		Control: t.address("control"),
		Metrics: t.address("metrics"),
	}
	used := map[string]string{}
	for _, entry := range [...]struct{ key, addr string }{
		{"calls", a.Calls}, {"peers", a.Peers}, {"control", a.Control}, {"metrics", a.Metrics}} {
		if other, ok := used[entry.addr]; ok && entry.addr != "" {
			t.Addf(entry.key, "is the same address as %s", t.Key(other))
		}
		used[entry.addr] = entry.key
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
