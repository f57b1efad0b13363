package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

// Guards against nodes that end, or stop following the shared rows, because of an entry
// that another writer has left among them. It names no host to use; the others hold.
func TestInvalidSharedRowsAreIgnored(t *testing.T) {
	is := is.New(t)
	const memberRow = `{"host":"x","domain":"d","forward":%q,"peer":"10.0.0.9:7380","incarnation":%s,"sequence":1,` +
		`"instance":{"id":"i9","service":"s","version":"v1","slots":%s,"warm_up_ms":%s}}`
	nested := strings.Repeat("[", 100_000)
	values := map[string][]string{
		memberPrefix + "x": {
			"", "null", "7", nested, `{"host":` + nested, `{"instance":` + strings.Repeat(`{"a":`, 100_000),
			fmt.Sprintf(memberRow, "10.0.0.9:99999", "1", "9", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:0", "1", "9", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9", "1", "9", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:8146", "9223372036854775807", "9", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:8146", "1e999", "9", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:8146", "-1", "9", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:8146", "1", "70000", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:8146", "1", "0", "0"),
			fmt.Sprintf(memberRow, "10.0.0.9:8146", "1", "9", "9223372036854775807"),
			strings.Replace(fmt.Sprintf(memberRow, "10.0.0.9:8146", "1", "9", "0"), "7380", "-1", 1),
		},
		rolloutPrefix + "s": {
			"", "null", "[]", nested, `{"service":"s","target":"v2","order":1e999}`,
			`{"service":"s","target":"v2","order":1,"state":1,"stage":99}`, `{"service":"s","target":"v2","order":1,"state":1,"stage":-1}`,
			`{"service":"s","target":"v2","order":1,"state":77}`, `{"service":"other","target":"v2","order":1,"state":1}`,
		},
	}
	revision := platform.Revision(100)
	apply := func(n *Node, key, value string) {
		revision++
		n.applyChanges(TableShared, []Change{{Row: platform.Row{Key: key, Value: []byte(value), Revision: revision}}}, revision)
		n.step(proxy.Tick{})
	}
	good, err := json.Marshal(proxy.Member{Host: "b", Domain: "d", ForwardAddr: "10.0.0.2:8146", PeerAddr: "10.0.0.2:7380", Incarnation: 1,
		Instance: &proxy.MemberInstance{ID: "i2", Service: "s", Version: "v1", Slots: 9}})
	is.NoErr(err)
	for key, list := range values {
		for _, value := range list {
			n, err := New(Settings{Host: "a", Domain: "d", ForwardAddr: "10.0.0.1:8146", PeerAddr: "10.0.0.1:7380"}, fakePlatform{}, NewLog(io.Discard))
			is.NoErr(err)
			n.step(proxy.StoreState{Loaded: true, Alive: true})
			n.step(proxy.OrderSeen{Order: rollout.Order{Service: "s", Target: "v2", Revision: 50}})
			apply(n, key, value)
			apply(n, memberPrefix+"b", string(good))
			var hosts []mesh.HostID
			n.inspect(func(r *proxy.Node) {
				for _, m := range r.Members() {
					hosts = append(hosts, m.Host)
				}
			})
			t.Logf("%s %.60s", key, value)
			is.Equal(hosts, []mesh.HostID{"a", "b"})
		}
	}
}

// Guards against a host that other hosts no longer believe because another writer has put
// a row in its name into the store.
func TestRecordOfAnotherWriterDoesNotOutlastItsHost(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", Domain: "d", ForwardAddr: "10.0.0.1:8146", PeerAddr: "10.0.0.1:7380"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	for _, incarnation := range []string{"9223372036854775807", "4611686018427387903"} {
		n.applyChanges(TableShared, []Change{{Row: platform.Row{Key: memberPrefix + "a", Revision: 7 + platform.Revision(len(incarnation)),
			Value: []byte(`{"host":"a","domain":"d","forward":"10.0.0.9:8146","peer":"10.0.0.9:7380","incarnation":` + incarnation + `}`)}}}, 7)
		n.inspect(func(r *proxy.Node) {
			self := r.Self()
			is.True(self.Incarnation > 0)
			is.Equal(self.ForwardAddr, "10.0.0.1:8146")
		})
	}
}
