package claims

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	replicaA = Replica{Host: "a", Started: 1}
	replicaB = Replica{Host: "b", Started: 1}
)

// newBackup returns the state of replica b, which is the backup of every shard,
// with replica a as primary.
func newBackup(epoch uint64) *State {
	s := New(replicaB, testDomain)
	s.adopt(viewOfPair(epoch))
	return s
}

func viewOfPair(epoch uint64) *View {
	v := &View{Domain: testDomain, Shards: make([]Shard, ShardCount)}
	for i := range v.Shards {
		v.Shards[i] = Shard{Epoch: epoch, Primary: replicaA, Backup: replicaB}
	}
	return v
}

func replicateMessage(epoch uint64, r Record) *Message {
	return &Message{
		Kind: MsgReplicate, From: replicaA, Domain: testDomain, Shard: r.ID.Shard(), Epoch: epoch, Seq: 1, Records: []Record{r},
	}
}

// Guards against a delayed message of an earlier epoch that completes a grant:
// the host may have been primary, then backup, then primary again meanwhile.
func TestReplicateOfAnEarlierEpochIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	id := identityAt(0, 1)
	s := newBackup(3)
	var out Effects
	s.Receive(0, replicateMessage(1, Record{ID: id, State: Granted, Epoch: 1, Revision: 1}), &out)
	is.Equal(len(out.Sends), 0)
	s.Receive(0, replicateMessage(3, Record{ID: id, State: Granted, Epoch: 3, Revision: 1}), &out)
	is.Equal(len(out.Sends), 1)
	is.Equal(out.Sends[0].Message.Kind, MsgAck)
}

// Guards against a change that a former primary made alone overriding the grant
// of its successor, so that a later failover would grant the identity again.
func TestRecordOfLaterEpochReplacesHigherRevision(t *testing.T) {
	is := is.New(t)
	id := identityAt(0, 1)
	s := newBackup(1)
	var out Effects
	s.Receive(0, replicateMessage(1, Record{ID: id, State: Released, Epoch: 1, Revision: 2}), &out)
	s.adopt(viewOfPair(2))
	s.Receive(0, replicateMessage(2, Record{ID: id, State: Granted, Epoch: 2, Revision: 1}), &out)
	is.Equal(s.owned[id.Shard()].records[id].State, Granted)
}

// Guards against a second pair of members for a shard whose members are
// unreachable but may still grant: identities created after the loss are
// unavailable too.
func TestNewIdentityIsUnavailableWhileMembersMayBeAlive(t *testing.T) {
	is := is.New(t)
	g := newCluster("a", "b", "c")
	g.settle(60 * time.Second)
	id := identityAt(g.now, 4)
	s := g.shard(id)
	primary, backup := s.Primary.Host, s.Backup.Host
	g.stop(primary)
	g.stop(backup)
	g.settle(30 * time.Second)
	for number := byte(0); ; number++ {
		later := identityAt(g.now, number)
		if later.Shard() != id.Shard() && number < 255 {
			continue
		}
		is.Equal(later.Shard(), id.Shard())
		for _, h := range g.hosts {
			if !g.stopped[h] {
				g.claim(h, 1, later)
				g.settle(time.Second)
				is.Equal(g.verdictOf(h, 1), VerdictUnavailable)
			}
		}
		return
	}
}
