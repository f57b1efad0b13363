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
	// minReadInterval is the shortest time between two reads of the head.
	minReadInterval = 100 * time.Millisecond
	// readTimeout is the time after which a read without result is given up.
	readTimeout = 5 * time.Second
	// maxWaiters bounds the peers that wait for a fresh head.
	maxWaiters = 1024

	// ItemPrefix precedes the ID in the keys of the rows of items.
	ItemPrefix = "moves/"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("distribution")
	// ErrRow is the type of errors for malformed rows of the platform.
	ErrRow = Errors.NewType("row")
	// ErrContent is the type of errors for content that cannot be used.
	ErrContent = Errors.NewType("content")
)

// HeadRow is the value of the head row in JSON. The history rows have the same
// hash field and no version, which is part of their key.
type HeadRow struct {
	Version mesh.ConfigVersion `json:"version"`
	Hash    string             `json:"hash"`
}

// ParseHeadRow reads the value of the head row. Fields that belong to the
// publication are ignored. The error is of type ErrRow.
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

// platformReads holds the read of the head that is under way and the peers
// that wait for it or for the next one.
type platformReads struct {
	lastID  uint64
	head    uint64 // ID of the read under way, zero for none
	started mesh.Time
	next    mesh.Time
	// served wait for the read under way, waiting for the next one.
	served  []waiter
	waiting []waiter
}

// wait adds a peer, or replaces its earlier nonce.
func (p *platformReads) wait(host mesh.HostID, nonce uint64) {
	for i := range p.waiting {
		if p.waiting[i].host == host {
			p.waiting[i].nonce = nonce
			return
		}
	}
	if len(p.waiting) < maxWaiters {
		p.waiting = append(p.waiting, waiter{host: host, nonce: nonce})
	}
}

func (p *platformReads) nextID() uint64 {
	p.lastID++
	return p.lastID
}

// tickReads polls the platform on readers and for waiting peers.
func (r *Reducer) tickReads(now mesh.Time, rng *rand.Rand, out *Output) {
	p := &r.reads
	if p.head != 0 && now.Sub(p.started) >= readTimeout {
		r.readFailed()
	}
	if r.topology.IsReader() && p.next == 0 {
		p.next = now.Add(time.Duration(rng.Int64N(int64(PollInterval))))
	}
	due := r.topology.IsReader() && now >= p.next
	due = due || (len(p.waiting) > 0 && now.Sub(p.started) >= minReadInterval)
	if due {
		r.startRead(now, out)
	}
}

// startRead begins a read of the head unless one is under way. All peers that
// wait now are served by it.
func (r *Reducer) startRead(now mesh.Time, out *Output) {
	p := &r.reads
	if p.head != 0 {
		return
	}
	p.head, p.started, p.next = p.nextID(), now, now.Add(PollInterval)
	p.served, p.waiting = p.waiting, nil
	req := platform.Request{ID: p.head, Op: platform.OpRead, Keys: []string{platform.HeadKey}}
	if r.settings.ItemStep != nil {
		req.Prefixes = []string{ItemPrefix}
	}
	out.Platform = append(out.Platform, req)
}

// readFailed lets the peers wait for the next read.
func (r *Reducer) readFailed() {
	p := &r.reads
	newer := p.waiting
	p.head, p.waiting, p.served = 0, p.served, nil
	for _, w := range newer {
		p.wait(w.host, w.nonce)
	}
}

// acceptRead handles the rows of the head read or of a history read.
func (r *Reducer) acceptRead(now mesh.Time, res *platform.Result, out *Output) {
	if res.ID != 0 && res.ID == r.fetch.historyRead {
		r.acceptHistory(now, res, out)
		return
	}
	if res.ID == 0 || res.ID != r.reads.head {
		return
	}
	if res.Status != platform.OK {
		r.readFailed()
		return
	}
	head, err := headOf(res.Rows)
	if err != nil {
		r.readFailed()
		return
	}
	r.reads.head = 0
	r.setFloor(head, out)
	for _, w := range r.reads.served {
		r.send(w.host, Message{Fresh: &Fresh{Nonce: w.nonce, Head: head}}, out)
	}
	r.reads.served = nil
	r.learn(now, "", head, out)
	r.apply(out)
	r.acceptItemRows(res.Rows, out)
}

// headOf returns the head among the rows, or version zero if there is none.
func headOf(rows []platform.Row) (Head, error) {
	for i := range rows {
		if rows[i].Key == platform.HeadKey {
			return ParseHeadRow(rows[i].Value)
		}
	}
	return Head{}, nil
}

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
			r.takeItem("", Item{ID: id, Step: step, Value: rows[i].Value}, out)
		}
	}
}
