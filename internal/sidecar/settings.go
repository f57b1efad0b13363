package sidecar

import (
	"cmp"
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
	// MemoryBytes is the memory that the process may use. Zero stands for
	// defaultMemoryBytes.
	MemoryBytes int
}

const (
	// defaultMemoryBytes is the memory of a small host.
	defaultMemoryBytes = 184 << 20
	// contentPart is the part of the memory for the bodies of requests and answers
	// in progress. Growing buffers and the garbage of earlier ones take as much again.
	contentPart = 0.125
	// heapPart is the part of the memory at which the garbage collector works
	// harder, whatever it takes. The rest is for stacks and the kernel's buffers.
	heapPart = 0.75
)

func (s *Settings) memory() float64 {
	return float64(cmp.Or(s.MemoryBytes, defaultMemoryBytes))
}

// ContentBytes returns the memory for bodies of requests and answers in progress.
func (s *Settings) ContentBytes() int { return int(contentPart * s.memory()) }

// HeapBytes returns the soft limit of the heap.
func (s *Settings) HeapBytes() int64 { return int64(heapPart * s.memory()) }
