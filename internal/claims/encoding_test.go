package claims

import (
	"reflect"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/wire"
)

func sampleMessages() []Message {
	from, requester := Replica{Host: "ifrane-1", Started: 1 << 60}, Replica{Host: "azrou-2", Started: 1<<60 + 5}
	id := Identity{Home: "ifrane", UUID: [16]byte{1, 2, 6: 0x70, 15: 9}}
	return []Message{
		{Kind: MsgClaim, From: from, Domain: id.Home, Shard: id.Shard(), Epoch: 4, ID: id, Ticket: Ticket{Requester: from, Number: 7}},
		{Kind: MsgVerdict, From: from, Domain: id.Home, Shard: id.Shard(), ID: id,
			Ticket: Ticket{Requester: requester, Number: 8}, Verdict: VerdictFuture},
		{Kind: MsgReplicate, From: from, Domain: "ifrane", Shard: 63, Epoch: 4, Seq: 300, Records: []Record{
			{ID: id, State: Granted, Ticket: Ticket{Requester: requester, Number: 8}, Epoch: 4, Revision: 1},
			{ID: Identity{Home: "azrou"}, State: Released, Ticket: Ticket{Requester: from, Number: 9}, Epoch: 3, Revision: 2},
		}},
		{Kind: MsgAck, From: requester, Domain: "ifrane", Shard: 63, Epoch: 4, Seq: 300},
		{Kind: MsgSynced, From: requester, Domain: "ifrane", Epoch: 5},
		{Kind: MsgLeaving, From: requester, Domain: "ifrane"},
	}
}

// Guards against a message field that is lost or changed by the encoding.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	decoded, err := DecodeMessages(EncodeMessages(sampleMessages()))
	is.NoErr(err)
	is.Equal(decoded, sampleMessages())
}

// Guards against malformed input that crashes the node or whose error is not of
// type ErrMalformed.
func FuzzDecodeMessages(f *testing.F) {
	f.Add(EncodeMessages(sampleMessages()))
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := DecodeMessages(data)
		if err != nil {
			if !errorx.IsOfType(err, wire.ErrMalformed) {
				t.Fatalf("error %v is not of type ErrMalformed", err)
			}
			return
		}
		again, err := DecodeMessages(EncodeMessages(messages))
		if err != nil || !reflect.DeepEqual(messages, again) {
			t.Fatalf("messages change when they are encoded again: %v", err)
		}
		s := New(Replica{Host: "ifrane-2", Started: 1}, "ifrane")
		for i := range messages {
			s.Receive(1, &messages[i], &Effects{})
		}
	})
}
