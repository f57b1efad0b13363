package runtime

import (
	"errors"
	"net/rpc"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/core"
)

// Guards against the loss of the first envelope to a peer that has restarted:
// the restarted node waits for it, and its timeout is longer than a reconnect.
func TestDeliverReplacesClosedConnection(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{}, 2)
	node := startNode(t, "b", &fakeStepper{intercept: func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindEnvelope {
			received <- struct{}{}
		}
		return ev.Kind == core.KindEnvelope
	}})
	opts := DefaultOptions()
	set := newPeerSet(&opts, func(string, *core.Envelope) {})
	defer set.close()
	_, _, control := node.Addrs()
	p := &peer{set: set, addr: control}
	defer p.disconnect()
	is.NoErr(p.deliver(&core.Envelope{From: "a"}))
	node.Node.control.mu.Lock()
	for c := range node.Node.control.conns {
		is.NoErr(c.Close())
	}
	node.Node.control.mu.Unlock()
	for err := error(nil); !errors.Is(err, rpc.ErrShutdown); {
		err = p.client.Call("Control.None", struct{}{}, new(Ack)) // repeated until the client notices the closed connection
	}
	is.NoErr(p.deliver(&core.Envelope{From: "a"}))
	is.Equal(len(received), 2)
}
