package quota

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// renewInterval is the period at which the coordinator renews its row.
	renewInterval = 3 * time.Second
	// leaseTime is the time after the coordinator sent its last successful renewal from
	// which it grants nothing.
	leaseTime = 6 * time.Second
	// takeoverTimeout is the time for which a host must have seen the row unchanged before
	// it takes over. It exceeds leaseTime, so that two coordinators never grant at the same
	// time.
	takeoverTimeout = 8 * time.Second
	// rankDelay staggers the hosts that could take over, so that usually only one writes.
	rankDelay = 200 * time.Millisecond
	// rewriteInterval is the time after which a write whose result is unknown is repeated.
	rewriteInterval = time.Second
	// MaxTerm bounds the terms and beats of rows and reports, so that the next ones don't
	// overflow.
	MaxTerm = math.MaxInt64
)

// Row is the row of the coordinator in the shared table.
type Row struct {
	Host        mesh.HostID      `json:"host"`
	Incarnation mesh.Incarnation `json:"incarnation"`
	Term        uint64           `json:"term"`
	// Beat changes with every write, so that a stored row shows which write took effect.
	Beat uint64 `json:"beat"`
	// Revision is the store's revision of the row, zero if there is none.
	Revision uint64 `json:"-"`
}

// RowWrite is an effect: store Row if the stored row still has the revision Expect.
type RowWrite struct {
	Row    Row
	Expect uint64
}

// Lease decides which host is the coordinator. It is not safe for concurrent use.
type Lease struct {
	host        mesh.HostID
	incarnation mesh.Incarnation
	row         Row
	seenAt      mesh.Time // time at which the row was first seen as it is
	highest     uint64    // highest term seen
	written     Row       // latest write
	writtenAt   mesh.Time // time of the latest write, zero for none
	// sentAt holds the times of the latest writes, by beat modulo its length. An answer
	// may be lost, and the row shows later that the write took effect.
	sentAt    [8]mesh.Time
	heldTerm  uint64    // term that this process holds or held last
	renewedAt mesh.Time // time at which the last successful write of heldTerm was sent
}

// NewLease returns a lease of which no row is known.
func NewLease(now mesh.Time, host mesh.HostID, incarnation mesh.Incarnation) *Lease {
	return &Lease{host: host, incarnation: incarnation, seenAt: now}
}

// Row returns the latest row seen.
func (l *Lease) Row() Row { return l.row }

// SeeTerm records a term known to another host. A term that this process takes is higher.
func (l *Lease) SeeTerm(term uint64) { l.highest = max(l.highest, term) }

// Highest returns the highest term seen.
func (l *Lease) Highest() uint64 { return l.highest }

// Holds reports whether this process may grant shares, and in which term.
func (l *Lease) Holds(now mesh.Time) (term uint64, ok bool) {
	return l.heldTerm, l.heldTerm > 0 && l.heldTerm >= l.highest && now < l.StopsAt()
}

// StopsAt returns the time at which the term ends if it isn't renewed.
func (l *Lease) StopsAt() mesh.Time { return l.renewedAt.Add(leaseTime) }

// ApplyRow applies the stored row. A Revision of zero means that the row doesn't exist.
func (l *Lease) ApplyRow(now mesh.Time, row Row) {
	if row.Revision != 0 && row.Revision <= l.row.Revision {
		return
	}
	if row.Revision == 0 && l.row.Revision == 0 {
		return
	}
	l.row, l.seenAt = row, now
	l.SeeTerm(row.Term)
	if l.mine() && row.Beat <= l.written.Beat && row.Beat+uint64(len(l.sentAt)) > l.written.Beat {
		l.heldTerm, l.renewedAt = row.Term, l.sentAt[row.Beat%uint64(len(l.sentAt))]
	}
}

// mine reports whether this process wrote the row.
func (l *Lease) mine() bool { return l.row.Host == l.host && l.row.Incarnation == l.incarnation }

// Renewal returns the write that renews the term of this process if it is due.
func (l *Lease) Renewal(now mesh.Time) (RowWrite, bool) {
	term, ok := l.Holds(now)
	if !ok || !l.mine() || l.row.Term != term || now.Sub(l.renewedAt) < renewInterval || now.Sub(l.writtenAt) < rewriteInterval {
		return RowWrite{}, false
	}
	return l.write(now, term), true
}

// Takeover returns the write that takes the next term if that is due. rank is the
// position of this host among the candidates.
func (l *Lease) Takeover(now mesh.Time, rank int) (RowWrite, bool) {
	if !l.MayTakeOver(now) || now.Sub(l.seenAt) < l.wait()+time.Duration(rank)*rankDelay {
		return RowWrite{}, false
	}
	return l.write(now, l.highest+1), true
}

// MayTakeOver reports whether Takeover would return a write at rank zero.
func (l *Lease) MayTakeOver(now mesh.Time) bool {
	if _, ok := l.Holds(now); ok {
		return false
	}
	return now.Sub(l.seenAt) >= l.wait() && (l.writtenAt == 0 || now.Sub(l.writtenAt) >= rewriteInterval)
}

// wait returns the time for which the row must have been seen unchanged. A row of an
// earlier process of this host has no holder any more, and without a row there has been
// none.
func (l *Lease) wait() time.Duration {
	switch {
	case l.row.Revision == 0 && l.highest == 0:
		return 0
	case l.row.Host == l.host && l.row.Incarnation < l.incarnation:
		return 0
	}
	return takeoverTimeout
}

func (l *Lease) write(now mesh.Time, term uint64) RowWrite {
	l.written = Row{Host: l.host, Incarnation: l.incarnation, Term: term, Beat: max(l.row.Beat, l.written.Beat) + 1}
	l.writtenAt, l.sentAt[l.written.Beat%uint64(len(l.sentAt))] = now, now
	return RowWrite{Row: l.written, Expect: l.row.Revision}
}
