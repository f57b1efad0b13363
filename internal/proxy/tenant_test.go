package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a request that runs without a known key, against a node that refuses a
// key because it has no configuration yet, and against a key that works after the
// version that removed it.
func TestKeyOfATenantIsRequired(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	arrived := CallArrived{Call: 1, Host: "a", Path: "/read/1", Budget: 100 * ms, Key: "k"}
	is.Equal(tn.step(arrived).Calls[0].Reason, mesh.ReasonNoConfiguration)
	tn.withConfigAndMembers()
	withKeys := func(version mesh.ConfigVersion, keys ...string) ConfigurationSeen {
		s := testSnapshot(t, version)
		s.Routes[1].Public = true
		return ConfigurationSeen{s.WithTenants([]catalog.Tenant{{Name: "one", Rank: 1}}, [][]string{keys})}
	}
	tn.step(withKeys(6, "k", "other"))
	arrived.Call, arrived.Budget = 2, time.Second
	e := tn.step(arrived).Calls[0]
	is.Equal(e.Action, CallForward)
	is.Equal(e.Tenant, mesh.Tenant("one"))
	is.Equal(e.TenantRank, 1)
	for id, key := range []string{"", "unknown"} {
		e = tn.step(CallArrived{Call: mesh.CallID(10 + id), Host: "a", Path: "/read/1", Budget: time.Second, Key: key}).Calls[0]
		is.Equal(e.Reason, mesh.ReasonUnknownKey)
		is.Equal(e.Outcome, mesh.NotRun)
		is.Equal(e.RetryAfter, time.Duration(0)) // a retry is useless
	}
	e = tn.step(CallArrived{Call: 20, Host: "a", Path: "/book/1", Budget: time.Second}).Calls[0]
	is.Equal(e.Action, CallForward) // a public route
	is.Equal(e.Tenant, mesh.Tenant(""))
	tn.step(withKeys(7, "other"))
	arrived.Call = 21
	is.Equal(tn.step(arrived).Calls[0].Reason, mesh.ReasonUnknownKey)
	is.Equal(tn.node.Counters().UnknownKeys, uint64(3))
}
