// Package load is an open-loop load generator: it sends calls at a fixed rate,
// whether or not earlier ones have been answered, checks that each answer
// belongs to its request, and reports latency per class.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// ClassSpec describes the calls of one class.
type ClassSpec struct {
	Name   mesh.Class
	Method string
	Path   string
	// BodyBytes is the size of the body.
	BodyBytes int
	// Weight is the share of the class among all weights.
	Weight int
	// ResendShare is the share of calls, 0 to 1, that are sent a second time
	// under the same identity, to another node where there are several.
	ResendShare float64
}

// Options configure a run.
type Options struct {
	// Nodes are the call addresses of the nodes under test.
	Nodes []string
	// Direct is the address of a backend server to which each call is also
	// sent at the same time, for a paired comparison. It may be empty.
	Direct string
	// Domain is the failure domain in the identities of requests.
	Domain mesh.FailureDomain
	// Rate is the number of calls per second.
	Rate float64
	// Duration is the time for which calls are started.
	Duration time.Duration
	// Timeout is the deadline of a call.
	Timeout time.Duration
	// MaxInFlight limits the calls in progress. Calls beyond it are not sent
	// and counted as dropped.
	MaxInFlight int
	Classes     []ClassSpec
	// Seed makes the choice of classes, nodes and resends repeatable.
	Seed uint64
}

// Bounds of a run.
const (
	maxRate      = 100_000
	maxDuration  = time.Hour
	maxBodyBytes = 1 << 20
)

// Check returns all faults of the options in one error.
func (o *Options) Check() error {
	var faults []error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fault(len(o.Nodes) == 0, "at least one node address is needed")
	for _, addr := range o.Nodes {
		_, err := netip.ParseAddrPort(addr)
		fault(err != nil, "node address %q is not a numeric IP address and a port", addr)
	}
	if o.Direct != "" {
		_, err := netip.ParseAddrPort(o.Direct)
		fault(err != nil, "direct address %q is not a numeric IP address and a port", o.Direct)
	}
	fault(o.Domain == "", "a failure domain is needed")
	fault(!(o.Rate > 0 && o.Rate <= maxRate), "rate must be above 0 and at most %d calls/s", maxRate)
	fault(o.Duration <= 0 || o.Duration > maxDuration, "duration must be above 0 and at most %v", maxDuration)
	fault(o.Timeout < time.Millisecond, "timeout must be at least 1 ms")
	fault(o.MaxInFlight < 1, "the limit of calls in progress must be at least 1")
	fault(len(o.Classes) == 0, "at least one class is needed")
	for _, c := range o.Classes {
		fault(c.Name == "" || c.Method == "", "class %q needs a name and a method", c.Name)
		fault(len(c.Path) == 0 || c.Path[0] != '/', "class %q: path must start with a slash", c.Name)
		fault(c.Weight < 1, "class %q: weight must be at least 1", c.Name)
		fault(c.BodyBytes < 0 || c.BodyBytes > maxBodyBytes, "class %q: body must have 0 to %d bytes", c.Name, maxBodyBytes)
		fault(!(c.ResendShare >= 0 && c.ResendShare <= 1), "class %q: resend share must be 0 to 1", c.Name)
	}
	return errors.Join(faults...)
}
