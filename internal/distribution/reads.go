package distribution

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// PollInterval is the time between two reads of the head by a reader.
	PollInterval = 500 * time.Millisecond
	// minReadInterval is the shortest time between two reads of the head that
	// are made for waiting peers.
	minReadInterval = 100 * time.Millisecond
	// readTimeout is the time after which a read of the head without a result
	// is abandoned.
	readTimeout = 5 * time.Second
	// maxWaiters bounds the number of peers waiting for a fresh head.
	maxWaiters = 1024

	// ItemPrefix is the prefix of the keys of item rows. The rest of the key
	// is the item's ID.
	ItemPrefix = "moves/"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("distribution")
	// ErrRow is the type of errors for malformed platform rows.
	ErrRow = Errors.NewType("row")
	// ErrContent is the type of errors for content that cannot be used.
	ErrContent = Errors.NewType("content")
)

// HeadRow is the JSON value of the head row. History rows have the same hash
// field; their version is part of the key.
type HeadRow struct {
	Version mesh.ConfigVersion `json:"version"`
	Hash    string             `json:"hash"`
}

// ParseHeadRow parses the value of the head row. Fields that only the
// publication uses are ignored. The error is of type ErrRow.
func ParseHeadRow(value []byte) (Head, error) {
	var row HeadRow
	if err := json.Unmarshal(value, &row); err != nil {
		return Head{}, ErrRow.Wrap(err, "head row is not valid JSON")
	}
	if row.Version == 0 || row.Hash == "" {
		return Head{}, ErrRow.New("head row has version %d and hash %q", row.Version, row.Hash)
	}
	return Head(row), nil
}

// waiter is a peer that waits for a fresh head.
type waiter struct {
	host  mesh.HostID
	nonce uint64
}

// platformReads holds the read of the head that is in progress, the peers that
// wait for it or for the next one, and the last ID given to any platform
// request.
type platformReads struct {
	lastID     uint64
	headReadID uint64 // ID of the read in progress, zero for none
	startedAt  mesh.Time
	nextPoll   mesh.Time
	// currentWaiters wait for the read in progress. nextWaiters asked after it
	// began and need the next one.
	currentWaiters []waiter
	nextWaiters    []waiter
}

// addWaiter registers a peer for the next read, or replaces its earlier nonce.
func (p *platformReads) addWaiter(host mesh.HostID, nonce uint64) {
	for i := range p.nextWaiters {
		if p.nextWaiters[i].host == host {
			p.nextWaiters[i].nonce = nonce
			return
		}
	}
	if len(p.nextWaiters) < maxWaiters {
		p.nextWaiters = append(p.nextWaiters, waiter{host: host, nonce: nonce})
	}
}

func (p *platformReads) nextID() uint64 {
	p.lastID++
	return p.lastID
}

// tickReads starts a read of the head if this node is a reader whose poll is
// due, or if peers wait for a fresh head.
func (r *Reducer) tickReads(now mesh.Time, rng *rand.Rand, out *Output) {
	p := &r.reads
	if p.headReadID != 0 && now.Sub(p.startedAt) >= readTimeout {
		r.headReadFailed()
	}
	if r.topology.IsReader() && p.nextPoll == 0 {
		p.nextPoll = now.Add(time.Duration(rng.Int64N(int64(PollInterval))))
	}
	due := r.topology.IsReader() && now >= p.nextPoll
	due = due || (len(p.nextWaiters) > 0 && now.Sub(p.startedAt) >= minReadInterval)
	if due {
		r.startHeadRead(now, out)
	}
}

// startHeadRead begins a read of the head unless one is in progress. All peers
// that wait now receive its result.
func (r *Reducer) startHeadRead(now mesh.Time, out *Output) {
	p := &r.reads
	if p.headReadID != 0 {
		return
	}
	p.headReadID, p.startedAt, p.nextPoll = p.nextID(), now, now.Add(PollInterval)
	p.currentWaiters, p.nextWaiters = p.nextWaiters, nil
	req := platform.Request{ID: p.headReadID, Op: platform.OpRead, Keys: []string{platform.HeadKey}}
	if r.settings.ItemStep != nil {
		req.Prefixes = []string{ItemPrefix}
	}
	out.Platform = append(out.Platform, req)
}

// headReadFailed ends the read in progress and moves the peers that waited for
// it to the next read.
func (r *Reducer) headReadFailed() {
	p := &r.reads
	arrivedLater := p.nextWaiters
	p.headReadID, p.nextWaiters, p.currentWaiters = 0, p.currentWaiters, nil
	for _, w := range arrivedLater {
		p.addWaiter(w.host, w.nonce)
	}
}

// acceptRead handles the result of a read of the head or of a history row.
func (r *Reducer) acceptRead(now mesh.Time, res *platform.Result, out *Output) {
	if res.ID != 0 && res.ID == r.fetch.historyReadID {
		r.acceptHistory(now, res, out)
		return
	}
	if res.ID == 0 || res.ID != r.reads.headReadID {
		return
	}
	if res.Status != platform.OK {
		r.headReadFailed()
		return
	}
	head, err := headOf(res.Rows)
	if err != nil {
		r.headReadFailed()
		return
	}
	r.reads.headReadID = 0
	r.setFloor(head, out)
	for _, w := range r.reads.currentWaiters {
		r.send(w.host, Message{FreshHead: &FreshHead{Nonce: w.nonce, Head: head}}, out)
	}
	r.reads.currentWaiters = nil
	r.learnHead(now, "", head, out)
	r.apply(out)
	r.acceptItemRows(res.Rows, out)
}

// headOf returns the head row's value, or version zero if the row does not
// exist.
func headOf(rows []platform.Row) (Head, error) {
	for i := range rows {
		if rows[i].Key == platform.HeadKey {
			return ParseHeadRow(rows[i].Value)
		}
	}
	return Head{}, nil
}

// acceptItemRows stores the items of the platform's rows. Malformed rows are
// skipped.
func (r *Reducer) acceptItemRows(rows []platform.Row, out *Output) {
	if r.settings.ItemStep == nil {
		return
	}
	for i := range rows {
		id, ok := strings.CutPrefix(rows[i].Key, ItemPrefix)
		if !ok {
			continue
		}
		if step, ok := r.settings.ItemStep(rows[i].Value); ok {
			r.storeItem("", Item{ID: id, Step: step, Value: rows[i].Value}, out)
		}
	}
}
