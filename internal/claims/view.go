package claims

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// ShardCount is the number of claim shards of a failure domain. One host's
// death makes the claims of at most a few shards unavailable.
const ShardCount = 64

// viewKeyPrefix starts the keys of the platform rows that hold views.
const viewKeyPrefix = "claims/"

// ViewKey returns the key of the platform row that holds a domain's view.
func ViewKey(d mesh.FailureDomain) string { return viewKeyPrefix + string(d) }

// Replica is one process of a host, identified by its start time. A restarted
// host is another replica.
type Replica struct {
	Host    mesh.HostID `json:"h"`
	Started mesh.Time   `json:"t"`
}

// Shard is the view of one claim shard.
type Shard struct {
	Epoch   uint64
	Primary Replica
	// Backup is zero when the domain has no second live host.
	Backup Replica
	// Joining is set until the backup has all records. A joining backup is not
	// a full member: the shard cannot continue from it.
	Joining bool
	// Since is the time at which the shard last started without records.
	Since mesh.Time
}

// isFullMember reports whether r is a full member, without which the shard
// cannot grant.
func (s *Shard) isFullMember(r Replica) bool {
	return r == s.Primary || (r == s.Backup && !s.Joining && r != Replica{})
}

// View holds the claim shards of one failure domain.
type View struct {
	Domain mesh.FailureDomain
	Shards []Shard
}

// viewRow is the row value of a view. Shards refer to replicas by their index
// in a list to keep the value small, because it is sent to every node of the
// domain.
type viewRow struct {
	Domain   mesh.FailureDomain `json:"domain"`
	Replicas []Replica          `json:"replicas"`
	Shards   []shardRow         `json:"shards"`
}

type shardRow struct {
	Epoch   uint64    `json:"e"`
	Primary int       `json:"p"`
	Backup  int       `json:"b"`
	Joining bool      `json:"j,omitempty"`
	Since   mesh.Time `json:"s"`
}

// maxViewBytes bounds a decompressed row value. 64 shards with 128 replicas of the
// longest host names take less than half of it.
const maxViewBytes = 64 << 10

// Encode returns the row value: JSON, compressed because each change is sent to
// every node and the shard entries are repetitive.
func (v *View) Encode() []byte {
	row := viewRow{Domain: v.Domain, Shards: make([]shardRow, len(v.Shards))}
	indexes := make(map[Replica]int)
	indexOf := func(r Replica) int {
		if _, ok := indexes[r]; !ok {
			indexes[r] = len(row.Replicas)
			row.Replicas = append(row.Replicas, r)
		}
		return indexes[r]
	}
	for i, s := range v.Shards {
		row.Shards[i] = shardRow{Epoch: s.Epoch, Primary: indexOf(s.Primary), Backup: indexOf(s.Backup), Joining: s.Joining, Since: s.Since}
	}
	var b bytes.Buffer
	z, _ := flate.NewWriter(&b, flate.BestCompression) // fails for unknown levels only
	err := json.NewEncoder(z).Encode(row)
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		panic(err) // unreachable: JSON can represent every field and writes to a buffer do not fail
	}
	return b.Bytes()
}

// ErrView is the error for a malformed view row.
var ErrView = Namespace.NewType("bad_view")

// DecodeView decodes a row value. Errors are of type ErrView.
func DecodeView(b []byte) (*View, error) {
	var row viewRow
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxViewBytes)
	if err := json.NewDecoder(decompressed).Decode(&row); err != nil {
		return nil, ErrView.Wrap(err, "claim view is not compressed JSON of at most %d bytes", maxViewBytes)
	}
	if len(row.Shards) != ShardCount {
		return nil, ErrView.New("claim view has %d shards, want %d", len(row.Shards), ShardCount)
	}
	v := &View{Domain: row.Domain, Shards: make([]Shard, ShardCount)}
	validIndex := func(i int) bool { return i >= 0 && i < len(row.Replicas) }
	for i, s := range row.Shards {
		if !validIndex(s.Primary) || !validIndex(s.Backup) {
			return nil, ErrView.New("claim shard %d refers to a replica that is not in the row", i)
		}
		v.Shards[i] = Shard{Epoch: s.Epoch, Primary: row.Replicas[s.Primary], Backup: row.Replicas[s.Backup], Joining: s.Joining, Since: s.Since}
	}
	return v, nil
}

func (v *View) clone() *View {
	c := *v
	c.Shards = append([]Shard(nil), v.Shards...)
	return &c
}

// Directory provides the membership information on which view changes are
// based.
type Directory interface {
	// Live returns the live replicas of a failure domain.
	Live(mesh.FailureDomain) []Replica
	// Ended reports whether r's process has definitely ended: a later process
	// of the host has been seen or an operator has declared the host lost.
	Ended(r Replica) bool
}

// nextShard returns the new view of shard i and reports whether it differs,
// because membership has changed or a copy is complete. New members come from
// eligible, the live replicas that are not leaving. synced is set when the
// primary has reported a complete copy.
func nextShard(i int, s Shard, live, eligible []Replica, dir Directory, synced bool, now mesh.Time) (Shard, bool) {
	primaryLive, backupLive := contains(live, s.Primary), contains(live, s.Backup)
	switch {
	case primaryLive && backupLive && s.Joining && synced:
		s.Joining = false
		return s, true
	case primaryLive && backupLive:
		return replaceLeaving(i, s, eligible)
	case primaryLive:
		backup := chooseReplica(i, eligible, s.Primary)
		return s.nextEpoch(s.Primary, backup), backup != s.Backup
	case backupLive && s.isFullMember(s.Backup):
		return s.nextEpoch(s.Backup, chooseReplica(i, eligible, s.Backup)), true
	case canStartEmpty(s, dir) && len(eligible) > 0:
		primary := chooseReplica(i, eligible, Replica{})
		s.Since = now
		return s.nextEpoch(primary, chooseReplica(i, eligible, primary)), true
	}
	return s, false
}

// replaceLeaving replaces a live member that is leaving. A leaving primary is
// replaced only once its backup is a full member, so that the records are kept.
func replaceLeaving(i int, s Shard, eligible []Replica) (Shard, bool) {
	switch {
	case !contains(eligible, s.Backup):
		backup := chooseReplica(i, eligible, s.Primary)
		return s.nextEpoch(s.Primary, backup), backup != s.Backup
	case !contains(eligible, s.Primary) && s.isFullMember(s.Backup):
		return s.nextEpoch(s.Backup, chooseReplica(i, eligible, s.Backup)), true
	}
	return s, false
}

// nextEpoch returns the next epoch of the shard, with a primary that has the
// records and a backup that must first copy them.
func (s Shard) nextEpoch(primary, backup Replica) Shard {
	return Shard{Epoch: s.Epoch + 1, Primary: primary, Backup: backup, Joining: backup != Replica{}, Since: s.Since}
}

// rebalance moves a shard one step towards the replicas that chooseReplica
// prefers, and reports whether it changed. It acts only on a shard with two
// full members, so that a complete second copy of the records is never missing
// for longer than one transfer.
func rebalance(i int, s Shard, eligible []Replica) (Shard, bool) {
	if s.Joining || !contains(eligible, s.Primary) || !contains(eligible, s.Backup) {
		return s, false
	}
	primary := chooseReplica(i, eligible, Replica{})
	backup := chooseReplica(i, eligible, primary)
	switch {
	case s.Primary == primary && s.Backup == backup:
		return s, false
	case s.Primary == primary:
		return s.nextEpoch(primary, backup), true
	case s.Backup == primary:
		return Shard{Epoch: s.Epoch + 1, Primary: s.Backup, Backup: s.Primary, Since: s.Since}, true
	default:
		return s.nextEpoch(s.Primary, primary), true
	}
}

// canStartEmpty reports whether the shard may start without records: it is new,
// or the process of a full member has ended, so that its current view can grant
// nothing any more.
func canStartEmpty(s Shard, dir Directory) bool {
	if s.Epoch == 0 {
		return true
	}
	return dir.Ended(s.Primary) || (s.isFullMember(s.Backup) && dir.Ended(s.Backup))
}

func contains(replicas []Replica, r Replica) bool {
	for _, other := range replicas {
		if other == r {
			return true
		}
	}
	return false
}

// chooseReplica returns the replica with the highest weight for the shard,
// leaving out the host of exclude (rendezvous hashing). Weights depend on the
// shard, so that the shards spread over the hosts of the domain.
func chooseReplica(shard int, replicas []Replica, exclude Replica) Replica {
	var best Replica
	var bestWeight uint64
	for _, r := range replicas {
		if r.Host == exclude.Host {
			continue
		}
		w := xxhash.Sum64String(string(r.Host) + "/" + strconv.Itoa(shard))
		if best == (Replica{}) || w > bestWeight || (w == bestWeight && r.Host < best.Host) {
			best, bestWeight = r, w
		}
	}
	return best
}

// Step returns a number that orders the versions of a view for distribution. It
// grows with each change: epochs only rise, and the completion of a copy within
// an epoch adds one.
func (v *View) Step() uint64 {
	var sum uint64
	for i := range v.Shards {
		sum += 2 * v.Shards[i].Epoch
		if !v.Shards[i].Joining {
			sum++
		}
	}
	if sum > math.MaxInt64 {
		return math.MaxInt64
	}
	return sum
}
