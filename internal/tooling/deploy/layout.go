// Package deploy runs a deployment of real processes on loopback, for the demo,
// benchmarks and process tests: the development platform, and for each host a
// node and its backend servers. Each host has its own loopback address.
package deploy

import (
	"fmt"
	"net"
	"strings"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Ports of the processes. Each host has its own address.
const (
	callPort     = 7000
	peerPort     = 7001
	controlPort  = 7002
	metricsPort  = 7003
	backendPort  = 7100
	platformPort = 7900
)

// Bounds of the second byte of a deployment's addresses, 127.N.x.y. Each
// deployment uses its own N, so that several can run on one machine.
const (
	firstNetwork = 10
	lastNetwork  = 250
)

// Backend is one backend server of a host.
type Backend struct {
	Instance mesh.InstanceID
	Service  mesh.Service
	Version  mesh.BackendVersion
	Addr     string
	// ExtraSettings holds further lines of its settings file.
	ExtraSettings string
}

// Host is one host of a deployment.
type Host struct {
	Name        mesh.HostID
	Domain      mesh.FailureDomain
	CallAddr    string
	PeerAddr    string
	ControlAddr string
	MetricsAddr string
	Backends    []Backend
}

// Layout describes the hosts and addresses of a deployment.
type Layout struct {
	PlatformAddr string
	Hosts        []*Host
	// network is the second byte of the addresses.
	network int
}

// NewLayout returns a layout without hosts in a free network 127.N.0.0. The search
// begins at firstOffset, which callers derive from the process ID so that
// concurrent processes try different networks first. The error means that no
// network is free.
func NewLayout(firstOffset int) (*Layout, error) {
	const networks = lastNetwork - firstNetwork + 1
	for i := range networks {
		network := firstNetwork + (firstOffset+i)%networks
		addr := fmt.Sprintf("127.%d.0.1:%d", network, platformPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return &Layout{PlatformAddr: addr, network: network}, l.Close()
	}
	return nil, fmt.Errorf("no free network in 127.%d.0.0 to 127.%d.0.0", firstNetwork, lastNetwork)
}

// AddHost adds a host to a failure domain. The host's name is the domain's name
// with a number appended.
func (l *Layout) AddHost(domain mesh.FailureDomain) *Host {
	domains, inDomain := []mesh.FailureDomain{}, 0
	domainIndex := -1
	for _, h := range l.Hosts {
		if len(domains) == 0 || domains[len(domains)-1] != h.Domain {
			domains = append(domains, h.Domain)
		}
		if h.Domain == domain {
			domainIndex, inDomain = len(domains)-1, inDomain+1
		}
	}
	if domainIndex < 0 {
		domainIndex = len(domains)
	}
	ip := fmt.Sprintf("127.%d.%d.%d", l.network, domainIndex+1, inDomain+1)
	h := &Host{
		Name:     mesh.HostID(fmt.Sprintf("%s-%d", domain, inDomain+1)),
		Domain:   domain,
		CallAddr: address(ip, callPort), PeerAddr: address(ip, peerPort),
		ControlAddr: address(ip, controlPort), MetricsAddr: address(ip, metricsPort),
	}
	l.Hosts = append(l.Hosts, h)
	return h
}

// AddBackend adds a backend server to the host. Extra lines, if any, are appended
// to its settings file.
func (h *Host) AddBackend(service mesh.Service, version mesh.BackendVersion, extra ...string) *Backend {
	ip, _, _ := strings.Cut(h.CallAddr, ":")
	name := fmt.Sprintf("%s-%s-%s", h.Name, service, strings.ReplaceAll(string(version), ".", "-"))
	h.Backends = append(h.Backends, Backend{
		Instance: mesh.InstanceID(name), Service: service, Version: version,
		Addr: address(ip, backendPort+len(h.Backends)), ExtraSettings: strings.Join(extra, "\n"),
	})
	return &h.Backends[len(h.Backends)-1]
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// seeds returns the control addresses that nodes and chicoryctl contact first:
// that of the first host of each failure domain.
func (l *Layout) seeds() []string {
	var seeds []string
	seen := map[mesh.FailureDomain]bool{}
	for _, h := range l.Hosts {
		if !seen[h.Domain] {
			seen[h.Domain] = true
			seeds = append(seeds, h.ControlAddr)
		}
	}
	return seeds
}

// nodeSettings returns the content of the settings file of a host's node.
func (l *Layout) nodeSettings(h *Host) string {
	return fmt.Sprintf(`host = %q
failure_domain = %q
seeds = [%s]

[addresses]
calls = %q
peers = %q
control = %q
metrics = %q

[platform]
table = %q
`, h.Name, h.Domain, quotedList(l.seeds()), h.CallAddr, h.PeerAddr, h.ControlAddr, h.MetricsAddr, l.PlatformAddr)
}

// backendSettings returns the content of the settings file of a backend server.
func backendSettings(h *Host, b *Backend) string {
	return fmt.Sprintf("instance = %q\nservice = %q\nversion = %q\naddress = %q\nnode = %q\n%s\n",
		b.Instance, b.Service, b.Version, b.Addr, h.PeerAddr, b.ExtraSettings)
}

// ctlSettings returns the content of the settings file of chicoryctl.
func (l *Layout) ctlSettings(operator string) string {
	return fmt.Sprintf("nodes = [%s]\noperator = %q\n", quotedList(l.seeds()), operator)
}

func quotedList(list []string) string {
	var parts []string
	for _, item := range list {
		parts = append(parts, fmt.Sprintf("%q", item))
	}
	return strings.Join(parts, ", ")
}
