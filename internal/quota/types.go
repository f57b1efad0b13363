// Package quota bounds the requests of a tenant over all hosts. Each host holds a share
// of the tenant's limit and admits requests by a token bucket that refills at this share
// of the limit. One host, the coordinator, grants the shares so that their sum never
// exceeds the limit. All types are pure reducers: time comes with each call, from a clock
// that advances while the host is suspended.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// shareValidity is the time for which a share may be used, from the moment at which
	// the host sent the report that the grant answers.
	shareValidity = 12 * time.Second
	// TokenValidity is the time from its request within which a host uses a token that
	// another host has given to it. A window may contain the tokens of this time in
	// addition.
	TokenValidity = 150 * time.Millisecond
	// reservationTime is the time after a grant for which the coordinator counts the
	// share as in use if the host sends no report. It exceeds shareValidity, so that clocks
	// of different speed do no harm.
	reservationTime = 13 * time.Second
	// maxEntries bounds the tenants of a report.
	maxEntries = 4096
)

// Parts is a fraction in millionths. Integers keep the sums of shares exact.
type Parts uint32

// Whole is the fraction 1.
const Whole Parts = 1_000_000

func (p Parts) of(v float64) float64 { return v * float64(p) / float64(Whole) }

// Bounds state by how much the requests of a tenant may exceed its limit: in any Window,
// a limit of rate r and burst b allows (r × Window + b) × (1 + Overshoot) + Slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// Domains is the number of failure domains. If it is zero, the whole limit is granted by
	// the coordinator.
	Domains int
}

// baseFraction is the fraction of a limit that is divided equally among the failure domains
// for good. Each tenant's token server holds the base of its domain without a grant, so that
// tenants are served while there is no coordinator, as in a cut or after a restart of all.
const baseFraction = 0.6

// granted returns the fraction of a limit that the coordinator grants.
func (b Bounds) granted() float64 {
	if b.Domains == 0 {
		return 1
	}
	return 1 - baseFraction
}

// base returns the fraction of a limit that one failure domain holds for good.
func (b Bounds) base() float64 {
	if b.Domains == 0 {
		return 0
	}
	return baseFraction / float64(b.Domains)
}

// DefaultBounds apply where the settings state none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// Allowed returns the number of requests allowed in a window.
func (b Bounds) Allowed(q catalog.Quota) float64 {
	return (q.RatePerSecond*b.Window.Seconds()+q.Burst)*(1+b.Overshoot) + b.Slack
}

// enforced returns the limit that the shares are parts of. It uses enforcedFraction of what
// the rule allows beyond the limit, so that a tenant that reaches its limit is refused
// nothing inside it because the demand of its hosts varies.
func (b Bounds) enforced(q catalog.Quota) catalog.Quota {
	f := 1 + enforcedFraction*b.Overshoot
	return catalog.Quota{RatePerSecond: f * q.RatePerSecond, Burst: f * q.Burst}
}

// slack returns the number of requests by which a window may exceed an enforced limit,
// without those that TokenValidity takes.
func (b Bounds) slack(enforced catalog.Quota) float64 {
	f := 1 + enforcedFraction*b.Overshoot
	allowed := b.Allowed(catalog.Quota{RatePerSecond: enforced.RatePerSecond / f, Burst: enforced.Burst / f})
	return max(0, allowed-enforced.RatePerSecond*(b.Window+TokenValidity).Seconds()-enforced.Burst)
}

const (
	// enforcedFraction is the fraction of Bounds.Overshoot by which enforced limits exceed
	// those of the tenants.
	enforcedFraction = 0.6
	// bonusFraction is the fraction of the slack that the hosts with a share use as
	// additional capacity of their buckets, and floorFraction the fraction that the hosts
	// without a share use. returnFraction is the fraction up to which tokens that other
	// hosts return are admitted again. The rest covers TokenValidity.
	bonusFraction  = 0.5
	floorFraction  = 0.125
	returnFraction = 0.125
)

// bonus returns the additional capacity of all hosts with a share together, in tokens.
func (b Bounds) bonus(q catalog.Quota) float64 { return bonusFraction * b.slack(q) }

// ID is a hash of a tenant's name. If the hashes of two tenants are the same, both get the
// shares that suit the demand of one of them; neither exceeds its limit.
type ID uint32

// IDOf returns the ID of a tenant.
func IDOf(tenant mesh.Tenant) ID { return ID(xxhash.Sum64String(string(tenant))) }

// Report is what a host tells the coordinator.
type Report struct {
	Host        mesh.HostID
	Incarnation mesh.Incarnation
	// Sequence numbers the reports of the process. The host ignores answers to all reports
	// but the latest.
	Sequence uint64
	// Term is the highest term that the host knows.
	Term    uint64
	Entries []Entry
}

// Entry is the part of a report about one tenant. A report that lacks a tenant confirms
// that the host holds no share and has no demand.
type Entry struct {
	Tenant ID
	// Demand is the demand at the host in thousandths of a request per second.
	Demand uint32
	// Share and Bonus are the fractions of the limit and of the bonus that the host
	// holds. They are valid for another LeftMillis milliseconds.
	Share, Bonus Parts
	LeftMillis   uint32
}

// Grant is the answer to a report. A Term of zero states that the host that answers is
// not the coordinator.
type Grant struct {
	Term     uint64
	Sequence uint64 // of the report
	// Soon asks the host for its next report after shortInterval, because a share is to
	// change.
	Soon   bool
	Shares []TenantGrant
}

// TenantGrant is the share of one tenant. A Share of zero takes the share away. Tokens, in
// thousandths, are added to the bucket: they are those of the part by which the share rises.
type TenantGrant struct {
	Tenant       ID
	Share, Bonus Parts
	Tokens       uint32
}
