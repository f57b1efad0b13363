package rollout

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// repeatWindow is the time after the change of the store's era within which an operator
// may write an order several times without ordering a new roll-out.
const repeatWindow = 10 * time.Second

// enterEra records that rows of an era of the store were seen.
func (r *Reducer) enterEra(now mesh.Time, era platform.Era) {
	if era > r.era {
		r.era, r.eraSince = era, now
	}
}

// repeatsOrder reports whether an order is the known one, which the operator has written
// again after the store had lost it or which the store's older state still contains.
func (r *Reducer) repeatsOrder(now mesh.Time, ro *serviceRollout, o *Order) bool {
	return o.Revision.Era() > ro.order.Revision.Era() && o.sameContent(&ro.order) &&
		(ro.orderSeen.Era() < o.Revision.Era() || now.Sub(r.eraSince) < repeatWindow)
}

// revivesOrder reports whether an order is the one before the known order, as it stands in
// an older state of the store.
func (ro *serviceRollout) revivesOrder(o *Order) bool {
	previous := &ro.previousOrder
	return o.Revision.Era() > ro.order.Revision.Era() && o.sameContent(previous) && o.Revision.Version() == previous.Revision.Version()
}

func (o *Order) sameContent(other *Order) bool {
	return o.Target == other.Target && o.Duration == other.Duration
}

// adoptOrder takes over the revision under which the roll-out of the known order was
// started. A process that was started after a change of the era knows only the order that
// was written again.
func (ro *serviceRollout) adoptOrder() {
	if ro.previousOrder.Revision == 0 && ro.row.Order != 0 && ro.row.Order.Era() < ro.order.Revision.Era() && ro.row.Target == ro.order.Target {
		ro.order.Revision = ro.row.Order
	}
}

// outdates reports whether the known row is of a later state than the given one, which
// then is from an older copy of the store or from a process that doesn't know the roll-out.
func (r *Reducer) outdates(now mesh.Time, ro *serviceRollout, row *Row) bool {
	known := &ro.row
	switch {
	case row.Order < known.Order:
		return true
	case row.Order > known.Order:
		// A process without knowledge of the roll-out has started the repeated order.
		return row.Order.Era() > known.Order.Era() && known.Order != 0 && row.Target == known.Target &&
			ro.order.Revision == known.Order && (row.Order <= ro.orderSeen || now.Sub(r.eraSince) < repeatWindow)
	case row.State.Final() != known.State.Final():
		return known.State.Final()
	}
	return row.Beat < known.Beat
}

// RowMissing records that the store no longer has the row of a service's roll-out. The
// known row is to be written again, on condition that none exists.
func (r *Reducer) RowMissing(now mesh.Time, s mesh.Service, era platform.Era) {
	r.enterEra(now, era)
	ro := r.rolloutOf(s)
	absent := platform.NewRevision(era, 0)
	if absent <= ro.row.Revision {
		return
	}
	ro.row.Revision, ro.rowChangedAt, ro.restoreRow = absent, now, ro.row.Order != 0
}
