package sidecar

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// Settings of the process, as its platform states them.
type Settings struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// Service is the service of the instance on this host, InstanceAddr its
	// address.
	Service      mesh.Service
	InstanceAddr string

	// CallAddr takes requests of clients and of the instance on this host,
	// ForwardAddr requests of other nodes, PeerAddr their exchanges of state,
	// ControlAddr calls of the instance, ReadyAddr readiness checks, and
	// MetricsAddr scrapes of metrics.
	CallAddr    string
	ForwardAddr string
	PeerAddr    string
	ControlAddr string
	ReadyAddr   string
	MetricsAddr string

	// AdvertisedForward and AdvertisedPeer replace ForwardAddr and PeerAddr where
	// other nodes reach the host by other addresses. Empty stands for no difference.
	AdvertisedForward string
	AdvertisedPeer    string

	StoreAddr string
	// GracePeriod is the time from the signal to stop to the end of the process.
	GracePeriod time.Duration
	// Repeats is the budget for repeated attempts over all nodes.
	Repeats retry.WindowBudget
	// LinkMbps is the bandwidth of the host.
	LinkMbps int
}
