package moves

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

func sampleMessages() []Message {
	s := stateOf(7, Running, 500)
	s.Level, s.Balanced, s.Fence, s.KeepOld = 3, startTime.Add(time.Second), 9, time.Hour
	s.Routes = []RouteShare{{Route: "survey", Share: 700}, {Route: "surveyor", Share: FullShare}}
	s.Cause, s.CauseRoute, s.Early, s.EarlyRoute = CauseSlow, "survey", CauseNoEvidence, "rare"
	counts := Counts{Answered: 300, Failed: 2, Lost: 3, Crashes: 4, Repeats: 5}
	counts.Latency[0], counts.Latency[9], counts.Latency[Buckets-1] = 1, 298, 1
	last := Counts{Answered: 1}
	last.Latency[Buckets-1] = 1
	return []Message{
		{Sequence: 5, Incarnation: 1 << 60, Domain: "azrou", Evidence: []Report{
			{Move: "m1", Route: "survey", Class: "normal", Sides: [sideCount]Counts{counts, {}}},
			{Move: "m1", Route: "surveyor", Class: "normal", Sides: [sideCount]Counts{{}, last}},
		}},
		{Incarnation: 2, Domain: "ifrane", States: []MoveState{s},
			Stops: []Stop{{Move: "m1", Step: 7, Cause: CauseFailures, Route: "survey"}}},
	}
}

// Guards against a field that the encoding drops.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	decoded, err := DecodeMessages(EncodeMessages(sampleMessages()))
	is.NoErr(err)
	is.Equal(decoded, sampleMessages())
}

// Guards against starting a move with a name that the encoding's limits exclude:
// peers would reject its messages as malformed and never learn of the move.
func TestStartRejectsLongNames(t *testing.T) {
	is := is.New(t)
	r, out := newFollower()
	req := StartRequest{Move: testMove, Service: testService, From: "v1", To: "v2", Deadline: startTime.Add(time.Hour)}
	r.Start(startTime, &req, out)
	is.Equal(len(out.Replies), 0)
	req.Move += mesh.MoveID(strings.Repeat("m", maxNameBytes))
	r.Start(startTime, &req, out)
	is.Equal(len(out.Replies), 1)
	is.True(errorx.IsOfType(out.Replies[0].Err, ErrInvalid))
}

// Guards against malformed input that crashes the decoder or the Reducer or gives
// an error of another type, and against values that change when they are encoded
// and decoded again.
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
		decodedAgain, err := DecodeMessages(EncodeMessages(messages))
		if err != nil || !reflect.DeepEqual(messages, decodedAgain) {
			t.Fatalf("messages change when they are encoded and decoded again: %v", err)
		}
		r, out := newFollower(stateOf(1, Running, 500))
		for i := range messages {
			r.Message(startTime, "host-0", &messages[i], out)
		}
	})
}
