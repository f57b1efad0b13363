package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a tenant that is refused everything while there is no coordinator, and
// against bases and grants that together exceed the limit.
func TestBaseNeedsNoCoordinator(t *testing.T) {
	is := is.New(t)
	bounds := DefaultBounds
	bounds.Domains = 3
	limit := catalog.Quota{RatePerSecond: 100, Burst: 100}
	now := mesh.Time(time.Hour)
	l := NewLimiter(now, "a", 1, bounds)
	l.SetHosts(1000) // so that the floor admits nothing
	admitted := func(d time.Duration) (n int) {
		for end := now.Add(d); now < end; now = now.Add(2 * time.Millisecond) {
			if l.Admit(now, "one", limit).Verdict == Admitted {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(time.Second), 0)
	l.SetBases(now, func(mesh.Tenant) bool { return true })
	n := admitted(10 * time.Second)
	is.True(n >= 190 && n <= 213) // 0.2 of the enforced limit, from an empty bucket
	l.Report(now)
	is.True(l.ApplyGrant(now, &Grant{Term: 1, Sequence: 1, Shares: []TenantGrant{{Tenant: IDOf("one"), Share: Whole, Bonus: Whole}}}))
	n = admitted(10 * time.Second)
	is.True(n >= 600 && n <= 636+33) // 0.2 and the granted 0.4, and the bonus
	l.SetBases(now, func(mesh.Tenant) bool { return false })
	now = now.Add(shareValidity)
	is.Equal(admitted(time.Second), 0)
	is.True(3*bounds.base()+bounds.granted() <= 1+1e-9)
}
