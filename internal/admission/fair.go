package admission

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// shareHalfLife is the time in which the weight of past work halves in the shares of
	// the tenants.
	shareHalfLife = 5 * time.Second
	// maxTenants bounds the tenants with a share. The one with the least work is
	// forgotten first.
	maxTenants = 128
	// minServedRatio is the share of a tenant's offered work that is served, relative to
	// that of all tenants, below which none of its calls are shed for other tenants.
	minServedRatio = 0.4
	// largerShare is the factor by which a tenant's share must exceed that of another for
	// its calls to be shed in favour of the other's. It keeps tenants with about the same
	// share from shedding each other's calls.
	largerShare = 1.5
)

// tenantShare holds the recent work of a tenant, in nanoseconds decayed as of at.
type tenantShare struct {
	offered float64 // arrived at the gate
	served  float64 // dispatched
	at      mesh.Time
}

func (s *tenantShare) decay(now mesh.Time) {
	factor := math.Exp2(-float64(now.Sub(s.at)) / float64(shareHalfLife))
	s.offered, s.served, s.at = s.offered*factor, s.served*factor, now
}

// servedRatio returns the share of the offered work that was served.
func (s *tenantShare) servedRatio() float64 { return s.served / max(s.offered, 1) }

// tenantShares holds the recent work of all tenants and of each one.
type tenantShares struct {
	all      tenantShare
	byTenant map[mesh.Tenant]*tenantShare
}

// add adds work of a call.
func (t *tenantShares) add(now mesh.Time, name mesh.Tenant, offered, served time.Duration) {
	s := t.byTenant[name]
	if s == nil {
		s = &tenantShare{at: now}
		t.makeRoom(now)
		t.byTenant[name] = s
	}
	for _, each := range [...]*tenantShare{s, &t.all} {
		each.decay(now)
		each.offered += float64(offered)
		each.served += float64(served)
	}
}

// makeRoom removes the tenant with the least offered work if there are too many.
func (t *tenantShares) makeRoom(now mesh.Time) {
	if t.byTenant == nil {
		t.byTenant = make(map[mesh.Tenant]*tenantShare)
	}
	if len(t.byTenant) < maxTenants {
		return
	}
	var least mesh.Tenant
	var leastShare *tenantShare
	for name, s := range t.byTenant {
		s.decay(now)
		if leastShare == nil || s.offered < leastShare.offered || s.offered == leastShare.offered && name < least {
			least, leastShare = name, s
		}
	}
	delete(t.byTenant, least)
}

// served returns the recent work of a tenant at the instance.
func (t *tenantShares) served(now mesh.Time, name mesh.Tenant) float64 {
	s := t.byTenant[name]
	if s == nil {
		return 0
	}
	s.decay(now)
	return s.served
}

// mayShed reports whether calls of a tenant may be shed in favour of others.
func (t *tenantShares) mayShed(now mesh.Time, name mesh.Tenant) bool {
	s := t.byTenant[name]
	if s == nil {
		return false
	}
	s.decay(now)
	t.all.decay(now)
	return s.servedRatio() >= minServedRatio*t.all.servedRatio()
}

// victim returns the index of the call to be shed in favour of rec: the last call of the
// tenant that has the largest recent share of the work among those of rec's rank. It
// returns -1 if there is none with a larger share than rec's tenant. Calls without a
// tenant, such as calls between services, are never shed in favour of others: together
// they may have a large share, but no tenant is responsible for it.
func (g *Gate) victim(now mesh.Time, queue []*call, rec *call) int {
	best, bestShare := -1, largerShare*g.shares.served(now, rec.Tenant)
	for i, q := range queue {
		if q.TenantRank != rec.TenantRank || q.Tenant == rec.Tenant || q.Tenant == "" || q.Work == 0 {
			continue
		}
		share := g.shares.served(now, q.Tenant)
		sameTenant := best >= 0 && queue[best].Tenant == q.Tenant
		if (share > bestShare || sameTenant) && g.shares.mayShed(now, q.Tenant) {
			best, bestShare = i, share
		}
	}
	return best
}
