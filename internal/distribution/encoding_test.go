package distribution

import (
	"reflect"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

// sampleMessages returns messages that between them set every field.
func sampleMessages() []Message {
	head := Head{Version: 7, Hash: strings.Repeat("ab", 32)}
	ack := Ack{Version: 7, InForce: 3, Total: 5, Missing: []mesh.HostID{"ifrane-001", "ifrane-002"},
		Rejection: &Rejection{Version: 7, Hosts: 2, Host: "ifrane-002", Reason: "route stock names the unknown service depot"}}
	aggregates := []Aggregate{{Kind: 1, Value: []byte{3}}, {Kind: 2}}
	return []Message{
		{Status: &Status{Reply: true, Head: 7, Applied: 6, Held: 7, ItemDigest: 9, Ack: &ack, Aggregates: aggregates,
			Domains: []DomainAck{{Domain: "azrou", Stamp: 99, Ack: ack, Aggregates: aggregates}}}},
		{Push: &Push{Head: head, Base: 6, Delta: []byte("+route")}, Pull: &Pull{Want: 7, Have: 6}},
		{Push: &Push{Head: head, Full: []byte("full")}, FreshRequest: 5, FreshHead: &FreshHead{Nonce: 5, Head: head}},
		{Items: []Item{{ID: "m1", Step: 3, Value: []byte("v")}}, ItemSteps: []ItemStep{{ID: "m1", Step: 2}, {}}, RequestedItems: []string{"m2"}},
	}
}

// Guards against a field that is lost in encoding or decoding.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	decoded, err := DecodeMessages(EncodeMessages(sampleMessages()))
	is.NoErr(err)
	is.True(reflect.DeepEqual(decoded, sampleMessages()))
}

// Guards against malformed input that panics, has an error of another type
// than wire.ErrMalformed, or decodes to messages that cannot be encoded and
// decoded again.
func FuzzDecodeMessages(f *testing.F) {
	f.Add(EncodeMessages(sampleMessages()))
	f.Add([]byte{1, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := DecodeMessages(data)
		if err != nil {
			if !errorx.Cast(err).IsOfType(wire.ErrMalformed) {
				t.Fatalf("error %v is not of type ErrMalformed", err)
			}
			return
		}
		if _, err := DecodeMessages(EncodeMessages(messages)); err != nil {
			t.Fatalf("messages cannot be decoded again: %v", err)
		}
		r := New(Settings{Host: "self", Domain: "ifrane", Content: lineContent{}}, &fixedTopology{reader: true})
		for i := range messages {
			r.Receive(simEpoch, "peer", &messages[i], &Output{})
		}
	})
}
