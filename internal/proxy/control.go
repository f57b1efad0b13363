package proxy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

func (Tick) apply(n *Node, s *step) {
	n.gateEffects = n.gate.Tick(s.now, n.gateEffects)
	n.checkHosts(s)
	n.expireForgotten(s.now)
	n.closeGateWhenDue(s)
	n.rejectExpiredHeldCalls(s)
	n.poison.Expire(s.now)
	n.tickRollouts(s)
	n.tickQuota(s)
}

// tickRollouts advances the roll-outs that this host drives and reports evidence to
// the drivers of the others. A node that hasn't read the store, has lost it or is
// stopping drives no roll-out.
func (n *Node) tickRollouts(s *step) {
	n.reportEvidence(s)
	if !n.store.Loaded || !n.store.Alive || n.stopping {
		return
	}
	before := len(s.out.Writes)
	s.out.Writes = n.rollouts.Tick(s.now, n.liveRank(), n.usableSlotsByVersion, s.out.Writes)
	for _, w := range s.out.Writes[before:] {
		n.counters.RolloutWrites++
		s.log("rollout.write", "service", string(w.Row.Service), "target", string(w.Row.Target), "order", w.Row.Order,
			"state", w.Row.State.String(), "stage", w.Row.Stage, "beat", w.Row.Beat, "reason", w.Row.Reason, "expect", w.Expect)
	}
}

// reportEvidence sends the counts of the local instance to the driver of its
// service's roll-out. It also sends unchanged counts, to a new driver at once: a driver
// that gets no reports can't tell a lack of traffic from a lack of contact.
func (n *Node) reportEvidence(s *step) {
	l := &n.local
	driver, order, ok := n.rollouts.EvidenceDriver(l.service)
	if !ok {
		return
	}
	l.beginCounts(order)
	interval := maxEvidenceInterval
	if l.countsUnreported {
		interval = evidenceInterval
	}
	if driver == l.evidenceReportedTo && s.now.Sub(l.evidenceReportedAt) < interval {
		return
	}
	l.evidenceReportedAt, l.evidenceReportedTo, l.countsUnreported = s.now, driver, false
	e := rollout.Evidence{
		Host: n.settings.Host, Incarnation: n.self.Incarnation, Service: l.service, Version: l.version, Instance: l.id, Order: order,
		Slots: int(l.slots),
	}
	for _, name := range slices.SortedFunc(maps.Keys(l.routeCounts), cmp.Compare[mesh.Route]) {
		e.Routes = append(e.Routes, *l.routeCounts[name])
	}
	if driver == n.settings.Host {
		n.rollouts.Observe(e)
		return
	}
	if m := n.members[driver]; m != nil {
		s.out.Evidence = append(s.out.Evidence, EvidenceReport{Addr: m.PeerAddr, Evidence: e})
	}
}

func (e EvidenceReceived) apply(n *Node, _ *step) { n.rollouts.Observe(e.Evidence) }

func (e OrderSeen) apply(n *Node, s *step) {
	if !n.rollouts.ApplyOrder(s.now, e.Order) {
		return
	}
	n.membersChanged = true
	s.log("rollout.ordered", "service", string(e.Order.Service), "target", string(e.Order.Target),
		"order", e.Order.Revision, "duration_ms", e.Order.Duration.Milliseconds())
}

func (e RolloutMissing) apply(n *Node, s *step) {
	n.rollouts.RowMissing(s.now, e.Service, e.Era)
}

func (e RolloutSeen) apply(n *Node, s *step) {
	if !n.rollouts.ApplyRow(s.now, e.Row) {
		return
	}
	n.membersChanged = true
	s.log("rollout.state", "service", string(e.Row.Service), "target", string(e.Row.Target), "order", e.Row.Order,
		"state", e.Row.State.String(), "stage", e.Row.Stage, "driver", string(e.Row.Driver), "revision", e.Row.Revision)
}

// usableSlotsByVersion returns the slots of a service's instances that accept requests,
// by version.
func (n *Node) usableSlotsByVersion(service mesh.Service) rollout.Slots {
	slots := make(rollout.Slots)
	for _, m := range n.members {
		if i := m.Instance; i != nil && i.Service == service {
			slots[i.Version] += n.usableSlots(m)
		}
	}
	return slots
}

// updateShares sets, for each service, the shares of requests that its versions get.
func (n *Node) updateShares() {
	services := make(map[mesh.Service]rollout.Slots)
	for _, m := range n.members {
		i := m.Instance
		if i == nil {
			continue
		}
		if services[i.Service] == nil {
			services[i.Service] = make(rollout.Slots)
		}
		// A version whose instances are all unusable is listed with zero slots.
		services[i.Service][i.Version] += n.usableSlots(m)
	}
	for service, slots := range services {
		n.table.SetShares(sharesForPlan(service, slots, n.rollouts.Plan(service)))
	}
}

// sharesForPlan converts the plan of a roll-out into shares of the versions present.
// slots are the usable slots of each version. Withdrawn versions, which were rolled back,
// get a share only if they are the target again.
func sharesForPlan(service mesh.Service, slots rollout.Slots, plan rollout.Plan) routing.Shares {
	sorted := slices.SortedFunc(maps.Keys(slots), cmp.Compare[mesh.BackendVersion])
	out := routing.Shares{Service: service}
	if !plan.Ordered {
		// Without an order, a second version gets no requests: all go to the version
		// with the most slots.
		if len(sorted) > 1 {
			out.Versions = []routing.VersionShare{{Version: versionWithMostSlots(sorted, slots), Share: routing.FullShare}}
		}
		return out
	}
	out.Versions = append(out.Versions, routing.VersionShare{Version: plan.Target, Share: plan.Share})
	if plan.State == rollout.Completed {
		return out
	}
	others := slices.DeleteFunc(sorted, func(v mesh.BackendVersion) bool {
		return v == plan.Target || slices.Contains(plan.Withdrawn, v)
	})
	if len(others) > 0 {
		out.Fallback = versionWithMostSlots(others, slots)
		out.Versions = append(out.Versions, routing.VersionShare{Version: out.Fallback, Share: routing.FullShare - plan.Share})
	}
	return out
}

// versionWithMostSlots returns the version with the most slots, the first in order if
// several have as many.
func versionWithMostSlots(sorted []mesh.BackendVersion, slots rollout.Slots) (best mesh.BackendVersion) {
	for _, v := range sorted {
		if best == "" || slots[v] > slots[best] {
			best = v
		}
	}
	return best
}

// PoisonEntries returns the known requests that crash instances, to be sent to peers.
func (n *Node) PoisonEntries(now mesh.Time) []poison.Entry { return n.poison.AppendEntries(now, nil) }

// PoisonSeen carries requests that crash instances, as received from a peer.
type PoisonSeen struct{ Entries []poison.Entry }

func (e PoisonSeen) apply(n *Node, s *step) { n.poison.Merge(s.now, e.Entries) }
