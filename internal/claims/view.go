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

// Replica is one process of a host. A restarted host is another replica.
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

// full reports whether r is a full member, so that each grant needs it.
func (s *Shard) full(r Replica) bool {
	return r == s.Primary || (r == s.Backup && !s.Joining && r != Replica{})
}

// View holds the claim shards of one failure domain.
type View struct {
	Domain mesh.FailureDomain
	Shards []Shard
}

// viewRow is the row value of a view. Shards refer to replicas by their place
// in a table, because the value travels to every node of the domain.
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

// maxViewBytes bounds a decoded row value. 64 shards with 128 replicas of the
// longest host names take less than half of it.
const maxViewBytes = 64 << 10

// Encode returns the row value: JSON, compressed because each change travels
// to every node and the entries of the shards repeat each other.
func (v *View) Encode() []byte {
	row := viewRow{Domain: v.Domain, Shards: make([]shardRow, len(v.Shards))}
	places := make(map[Replica]int)
	place := func(r Replica) int {
		if _, ok := places[r]; !ok {
			places[r] = len(row.Replicas)
			row.Replicas = append(row.Replicas, r)
		}
		return places[r]
	}
	for i, s := range v.Shards {
		row.Shards[i] = shardRow{Epoch: s.Epoch, Primary: place(s.Primary), Backup: place(s.Backup), Joining: s.Joining, Since: s.Since}
	}
	var b bytes.Buffer
	z, _ := flate.NewWriter(&b, flate.BestCompression) // fails for unknown levels only
	err := json.NewEncoder(z).Encode(row)
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		panic(err) // unreachable: JSON holds every field and a buffer takes all bytes
	}
	return b.Bytes()
}

// ErrView is the error for a malformed view row.
var ErrView = Namespace.NewType("bad_view")

// DecodeView reads a row value. Errors are of type ErrView.
func DecodeView(b []byte) (*View, error) {
	var row viewRow
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxViewBytes)
	if err := json.NewDecoder(plain).Decode(&row); err != nil {
		return nil, ErrView.Wrap(err, "claim view is not compressed JSON of at most %d bytes", maxViewBytes)
	}
	if len(row.Shards) != ShardCount {
		return nil, ErrView.New("claim view has %d shards, want %d", len(row.Shards), ShardCount)
	}
	v := &View{Domain: row.Domain, Shards: make([]Shard, ShardCount)}
	known := func(i int) bool { return i >= 0 && i < len(row.Replicas) }
	for i, s := range row.Shards {
		if !known(s.Primary) || !known(s.Backup) {
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

// Directory is the membership knowledge that view changes rest on.
type Directory interface {
	// Live returns the live replicas of a failure domain.
	Live(mesh.FailureDomain) []Replica
	// Ended reports whether r's process has surely ended: a later process of
	// the host has been seen or an operator has declared the host lost.
	Ended(r Replica) bool
}

// nextShard returns the successor of shard i when membership or a completed
// copy calls for one. New members come from staying, the live replicas that are
// not about to leave. synced is set when the primary reported a full copy.
func nextShard(i int, s Shard, live, staying []Replica, dir Directory, synced bool, now mesh.Time) (Shard, bool) {
	primaryLive, backupLive := contains(live, s.Primary), contains(live, s.Backup)
	switch {
	case primaryLive && backupLive && s.Joining && synced:
		s.Joining = false
		return s, true
	case primaryLive && backupLive:
		return handOver(i, s, staying)
	case primaryLive:
		backup := choose(i, staying, s.Primary)
		return s.withBackup(s.Primary, backup), backup != s.Backup
	case backupLive && s.full(s.Backup):
		return s.withBackup(s.Backup, choose(i, staying, s.Backup)), true
	case canRestart(s, dir) && len(staying) > 0:
		primary := choose(i, staying, Replica{})
		s.Since = now
		return s.withBackup(primary, choose(i, staying, primary)), true
	}
	return s, false
}

// handOver replaces a live member that is about to leave. A leaving primary
// goes once its backup is full, so that the records are kept.
func handOver(i int, s Shard, staying []Replica) (Shard, bool) {
	switch {
	case !contains(staying, s.Backup):
		backup := choose(i, staying, s.Primary)
		return s.withBackup(s.Primary, backup), backup != s.Backup
	case !contains(staying, s.Primary) && s.full(s.Backup):
		return s.withBackup(s.Backup, choose(i, staying, s.Backup)), true
	}
	return s, false
}

// withBackup returns the next epoch with a primary that holds the records and
// a backup that has yet to copy them.
func (s Shard) withBackup(primary, backup Replica) Shard {
	return Shard{Epoch: s.Epoch + 1, Primary: primary, Backup: backup, Joining: backup != Replica{}, Since: s.Since}
}

// rebalance moves a shard one step towards the replicas that choose prefers,
// and reports whether it changed. It acts only on a shard with two full
// members, so that the records are never without a full copy for longer than
// one transfer.
func rebalance(i int, s Shard, live []Replica) (Shard, bool) {
	if s.Joining || !contains(live, s.Primary) || !contains(live, s.Backup) {
		return s, false
	}
	primary := choose(i, live, Replica{})
	backup := choose(i, live, primary)
	switch {
	case s.Primary == primary && s.Backup == backup:
		return s, false
	case s.Primary == primary:
		return s.withBackup(primary, backup), true
	case s.Backup == primary:
		return Shard{Epoch: s.Epoch + 1, Primary: s.Backup, Backup: s.Primary, Since: s.Since}, true
	default:
		return s.withBackup(s.Primary, primary), true
	}
}

// canRestart reports whether the shard can grant nothing any more, because it
// is new or a full member's process has ended.
func canRestart(s Shard, dir Directory) bool {
	if s.Epoch == 0 {
		return true
	}
	return dir.Ended(s.Primary) || (s.full(s.Backup) && dir.Ended(s.Backup))
}

func contains(live []Replica, r Replica) bool {
	for _, l := range live {
		if l == r {
			return true
		}
	}
	return false
}

// choose returns the live replica with the highest weight for the shard,
// other than the excluded one. Weights depend on the shard, so that shards
// spread over the hosts of the domain.
func choose(shard int, live []Replica, exclude Replica) Replica {
	var best Replica
	var bestWeight uint64
	for _, r := range live {
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

// Step orders the versions of a view for distribution. It grows with each
// change: epochs only rise, and a completed copy within an epoch counts one.
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
