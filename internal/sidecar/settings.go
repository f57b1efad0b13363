package sidecar

import (
	"cmp"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/warmup"
)

// Settings are the settings of the process, as read from the platform's settings file.
type Settings struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// Service is the service of the instance on this host, InstanceAddr its
	// address.
	Service      mesh.Service
	InstanceAddr string

	// The listening addresses. CallAddr accepts requests of clients and of the
	// instance on this host, ForwardAddr requests forwarded by other nodes, PeerAddr
	// state exchanges with other nodes, ControlAddr heartbeats of the instance,
	// ReadyAddr readiness checks, and MetricsAddr scrapes of metrics. A server whose
	// address is empty is not started.
	CallAddr    string
	ForwardAddr string
	PeerAddr    string
	ControlAddr string
	ReadyAddr   string
	MetricsAddr string

	// AdvertisedForward and AdvertisedPeer are the addresses at which other nodes
	// reach ForwardAddr and PeerAddr. If empty, those are advertised themselves.
	AdvertisedForward string
	AdvertisedPeer    string

	StoreAddr string // of the platform's store
	// GracePeriod is the time from the stop signal by which the process must have
	// ended.
	GracePeriod time.Duration
	// Repeats is the retry budget. It covers the attempts of all nodes together.
	Repeats retry.WindowBudget
	// Warmup bounds the requests that a cold instance may receive.
	Warmup warmup.Bounds
	// Quota states by how much tenants may exceed their quotas.
	Quota quota.Bounds
	// WorkAware makes placement and the gate use the predicted work of each request.
	WorkAware bool
	// LinkMbps is the bandwidth of the host's link in Mbit/s.
	LinkMbps int
	// MemoryBytes is the memory that the process may use. If zero,
	// defaultMemoryBytes applies.
	MemoryBytes int
	// FileDescriptors is the number of descriptors that the process may have open. If
	// zero, defaultFileDescriptors applies.
	FileDescriptors int
	// Clients bounds what clients may hold.
	Clients ClientSettings
}

const (
	// defaultMemoryBytes is what the process may use on a small host.
	defaultMemoryBytes = 184 << 20
	// bodyMemoryFraction is the fraction of the memory for request and answer bodies.
	// Growing buffers and the garbage of earlier ones take as much again.
	bodyMemoryFraction = 0.125
	// largeBodyFraction is the fraction of the memory that one body at a time may take
	// in addition. On the smallest host, of 184 MB, it admits a body of 64 MB, the usual
	// limit of configurations.
	largeBodyFraction = 0.36
	// heapLimitFraction is the fraction of the memory that becomes the soft limit of
	// the Go runtime, near which the garbage collector runs as often as necessary.
	// The rest is left for stacks and the kernel's buffers.
	heapLimitFraction = 0.75
)

func (s *Settings) memory() float64 {
	return float64(cmp.Or(s.MemoryBytes, defaultMemoryBytes))
}

// BodyMemoryBytes returns the memory budget for request and answer bodies.
func (s *Settings) BodyMemoryBytes() int { return int(bodyMemoryFraction * s.memory()) }

// LargeBodyBytes returns the size up to which one body at a time may exceed the budget.
func (s *Settings) LargeBodyBytes() int { return int(largeBodyFraction * s.memory()) }

// HeapBytes returns the soft memory limit for the Go runtime.
func (s *Settings) HeapBytes() int64 { return int64(heapLimitFraction * s.memory()) }
