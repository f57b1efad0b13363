package catalog

import (
	"crypto/sha256"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Tenant is a customer whose requests carry one of the customer's keys.
type Tenant struct {
	Name mesh.Tenant
	// Rank orders tenants by priority, before the rank of the route. Zero is the highest
	// priority.
	Rank  int
	Quota Quota
}

// Quota bounds the requests of a tenant over all hosts.
type Quota struct {
	// RatePerSecond and Burst are the fill rate and the size of the tenant's token bucket.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the quota bounds anything. A rate of zero stands for no limit.
func (q Quota) Limited() bool { return q.RatePerSecond > 0 }

// keyHash is the hash of a key. A snapshot holds no keys in clear, so that none can reach
// a log line, and a lookup by hash reveals nothing about other keys by its duration.
type keyHash [sha256.Size]byte

func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// RequiresKey reports whether requests on the route need the key of a tenant.
func (s *Snapshot) RequiresKey(r *Route) bool { return len(s.Tenants) > 0 && !r.Public }

// TenantOf returns the tenant that holds the key, or nil if there is none.
func (s *Snapshot) TenantOf(key string) *Tenant {
	if key == "" {
		return nil
	}
	return s.tenantByKey[hashKey(key)]
}

// Keys returns the number of known keys.
func (s *Snapshot) Keys() int { return len(s.tenantByKey) }
