package sidecar

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// oneRowStore is a store that holds one row.
type oneRowStore struct {
	fakePlatform
	mu  sync.Mutex
	row platform.Row
}

func (s *oneRowStore) Commit(_ context.Context, check platform.Check, writes []Write) (platform.Revision, platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if check.Revision != s.row.Revision {
		return 0, s.row, ErrConflict.New("conflict")
	}
	s.row = platform.Row{Key: check.Key, Value: writes[0].Value, Revision: s.row.Revision + 1}
	return s.row.Revision, platform.Row{}, nil
}

// quotaNode returns a node that knows a tenant with a limit.
func quotaNode(t *testing.T, host mesh.HostID, peerAddr string, store *oneRowStore) *Node {
	t.Helper()
	is := is.New(t)
	n, err := New(Settings{Host: host, Domain: "d", ForwardAddr: "127.0.0.1:1", PeerAddr: peerAddr}, store, NewLog(io.Discard))
	is.NoErr(err)
	route := catalog.Route{Name: "r", Host: "a", Prefix: "/", Timeout: time.Second, Attempts: 1, Destinations: []catalog.Destination{{Service: "s", Weight: 1}}}
	snapshot, err := catalog.Build(1, []catalog.Route{route}, []catalog.Service{{Name: "s"}}, catalog.ClientLimits{})
	is.NoErr(err)
	n.step(proxy.ConfigurationSeen{Snapshot: snapshot.WithTenants(
		[]catalog.Tenant{{Name: "one", Quota: catalog.Quota{RatePerSecond: 5, Burst: 10}}}, [][]string{{"k"}})})
	return n
}

// Guards against a row that makes no host the coordinator, a report that doesn't reach
// it, and an answer that doesn't reach the waiting request.
func TestShareIsGrantedByRPC(t *testing.T) {
	is := is.New(t)
	store := new(oneRowStore)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	coordinator := quotaNode(t, "b", l.Addr().String(), store)
	peers := coordinator.peerServer("peers", l)
	go func() { _ = peers.serve() }()
	go coordinator.writeQuotaRows(t.Context())
	coordinator.step(proxy.StoreState{Loaded: true, Alive: true})
	coordinator.step(proxy.Tick{})
	for term := uint64(0); term == 0; time.Sleep(time.Millisecond) { // nothing signals the begin of the term
		coordinator.inspect(func(r *proxy.Node) { term = r.HeldQuotaTerm() })
	}
	host := quotaNode(t, "a", "127.0.0.1:2", store)
	host.step(proxy.PeerSeen{Member: proxy.Member{Host: "b", Domain: "d", ForwardAddr: "127.0.0.1:1", PeerAddr: l.Addr().String(), Incarnation: 1}})
	coordinator.step(proxy.PeerSeen{Member: proxy.Member{Host: "a", Domain: "d", ForwardAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", Incarnation: 1}})
	host.applyChanges(TableShared, []Change{{Row: store.row}}, store.row.Revision)
	effects := make(chan proxy.CallEffect, effectBuffer)
	host.mu.Lock()
	host.callEffects[1] = effects
	host.mu.Unlock()
	host.step(proxy.CallArrived{Call: 1, Host: "a", Path: "/x", Key: "k"})
	e := <-effects                          // no tick is needed
	is.Equal(e.Reason, mesh.ReasonNoTarget) // admitted; this test has no instance
	host.inspect(func(r *proxy.Node) {
		is.Equal(r.QuotaStatus(host.now()).Shares, 1)
	})
	is.NoErr(peers.shutdown(t.Context()))
}

// Guards against a row of another writer that ends a node, or whose term leaves no higher
// one to take.
func TestInvalidCoordinatorRowIsIgnored(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", "null", "[]", `{"term":18446744073709551615}`, `{"host":"gone","term":1,"beat":18446744073709551615}`} {
		n := quotaNode(t, "a", "127.0.0.1:2", new(oneRowStore))
		n.applyChanges(TableShared, []Change{{Row: platform.Row{Key: quotaRowKey, Value: []byte(value), Revision: 7}}}, 7)
		n.step(proxy.Tick{})
		n.inspect(func(r *proxy.Node) {
			is.Equal(r.QuotaStatus(n.now()).Term+r.HeldQuotaTerm(), uint64(0))
		})
	}
}
