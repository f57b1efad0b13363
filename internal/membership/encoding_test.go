package membership

import (
	"reflect"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

func asError(err error) *errorx.Error { return errorx.Cast(err) }

func sampleMessages() []Message {
	records := Batch{
		{Host: "ifrane-001", Domain: "ifrane", ControlAddr: "10.0.0.1:7100", CallAddr: "10.0.0.1:7000", Incarnation: 77,
			Started: 70, State: Alive, Revision: 3, Established: true, Backends: []Backend{
				{Instance: "ifrane-001-b0", Service: "roofs", Version: "v1", Slots: 9},
				{Instance: "ifrane-001-b1", Service: "depot", Version: "v2", Slots: 6, Draining: true},
			}},
		{Host: "ifrane-002", Domain: "ifrane", Incarnation: 60, Started: 60, State: Dead, Ended: 90},
	}
	return []Message{
		{Kind: KindHeartbeat, Digest: 1 << 60, Records: records},
		{Kind: KindHeartbeatReply, Unreachable: []mesh.FailureDomain{"azrou", "sefrou"},
			Assignment: &ParentAssignment{Parent: "ifrane-002", Members: 2}},
		{Kind: KindRepair, Repair: &Repair{
			LocalOnly:        true,
			Digests:          []DomainDigest{{Domain: "ifrane", Digest: 5, Count: 2}},
			Buckets:          []BucketDigests{{Domain: "ifrane", Digests: []uint64{1, 2, 3}}},
			Summaries:        []BucketSummary{{Domain: "azrou", Bucket: 3, IDs: []RecordID{records[0].ID(), records[1].ID()}}},
			RequestedHosts:   []mesh.HostID{"ifrane-001", "ifrane-002"},
			RequestedDomains: []mesh.FailureDomain{"sefrou"},
		}},
	}
}

// Guards against a field that the encoding of messages loses.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	decoded, err := DecodeMessages(EncodeMessages(sampleMessages()))
	is.NoErr(err)
	is.True(reflect.DeepEqual(decoded, sampleMessages()))
}

// Guards against malformed input that crashes the node or is not reported as
// ErrMalformed.
func FuzzDecodeMessages(f *testing.F) {
	f.Add(EncodeMessages(sampleMessages()))
	f.Add([]byte{1, 1, 2, 1, 0, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := DecodeMessages(data)
		if err != nil {
			if !asError(err).IsOfType(wire.ErrMalformed) {
				t.Fatalf("error %v is not of type ErrMalformed", err)
			}
			return
		}
		again, err := DecodeMessages(EncodeMessages(messages))
		if err != nil || !reflect.DeepEqual(messages, again) {
			t.Fatalf("messages change when they are encoded again: %v", err)
		}
		n := New(testSettings(0, 0, testEpoch))
		for i := range messages {
			n.Receive(testEpoch, "peer", 1, &messages[i], &Output{})
		}
	})
}
