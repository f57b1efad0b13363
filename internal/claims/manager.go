package claims

import (
	"strconv"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Timing and limits of the manager.
const (
	// viewChangeInterval is the minimum time between view changes of a domain,
	// so that a restart of many hosts at once costs only a few writes.
	viewChangeInterval = time.Second
	// rebalanceInterval and maxRebalancedShards limit the transfers that only
	// balance the load, because every change of a view is sent to every node.
	rebalanceInterval   = 5 * time.Second
	maxRebalancedShards = 4
	// membershipSettleTime is the age from which a process that becomes manager
	// may replace departed members as soon as it has read the row. A younger
	// process waits for viewChangeInterval first: it may know only a few of the
	// members, and its view would be followed by many transfers.
	membershipSettleTime = 10 * time.Second
	// platformTimeout is the time after which an unanswered platform request is
	// abandoned and the row is read again.
	platformTimeout = 5 * time.Second
	// publishInterval is the time between publications of an unchanged view,
	// for nodes that have joined since the last one.
	publishInterval = 5 * time.Second
)

// syncReport is a primary's report that its backup has all records.
type syncReport struct {
	epoch   uint64
	primary Replica
}

// manager proposes view changes. Any node may act as manager: the row's
// revision decides which proposal takes effect.
type manager struct {
	// hosts are the managers, to which primaries report completed copies and
	// leaving replicas send MsgLeaving.
	hosts []mesh.HostID
	// syncReports holds the latest report for each shard.
	syncReports [ShardCount]syncReport
	// leaving holds the replicas that have announced that they are about to stop.
	leaving map[Replica]bool
	// revisionKnown is set while revision is that of the row as last read or
	// written. Otherwise the row must be read before a proposal.
	revisionKnown bool
	revision      platform.Revision
	lastRequestID uint64
	requestID     uint64 // of the platform request in flight, 0 for none
	proposal      *View  // of the commit in flight, nil for a read
	sentAt        mesh.Time
	// actAt is the earliest time of the next read of the row or proposal.
	actAt mesh.Time
	// proposeAt is the earliest time of the next proposal.
	proposeAt mesh.Time
	// rebalanceAt and publishAt are the times of the next transfer for balance
	// and of the next delivery of the view.
	rebalanceAt mesh.Time
	publishAt   mesh.Time
}

// SetManagers names the nodes that propose view changes in this domain.
func (s *State) SetManagers(hosts []mesh.HostID) { s.manager.hosts = hosts }

func (s *State) tickManager(now mesh.Time, dir Directory, isManager bool, out *Effects) {
	m := &s.manager
	if !isManager || s.stopped {
		m.revisionKnown = false
		return
	}
	if m.requestID != 0 {
		if now.Sub(m.sentAt) < platformTimeout {
			return
		}
		m.requestID, m.revisionKnown = 0, false
	}
	if now < m.actAt {
		return
	}
	m.actAt = now.Add(viewChangeInterval)
	if !m.revisionKnown {
		s.readView(now, out)
		return
	}
	m.proposeAt = m.actAt
	s.proposeView(now, dir, out)
	s.publishView(now, out)
}

func (s *State) readView(now mesh.Time, out *Effects) {
	s.requestPlatform(now, platform.Request{Op: platform.OpRead, Keys: []string{ViewKey(s.domain)}}, out)
}

// requestPlatform emits a platform request. At most one is in flight.
func (s *State) requestPlatform(now mesh.Time, r platform.Request, out *Effects) {
	s.manager.lastRequestID++
	r.ID = s.manager.lastRequestID
	s.manager.requestID, s.manager.sentAt = r.ID, now
	out.Platform = append(out.Platform, r)
}

func (s *State) proposeView(now mesh.Time, dir Directory, out *Effects) {
	next, changed := s.nextView(now, dir)
	if !changed {
		return
	}
	m := &s.manager
	m.proposal = next
	key := ViewKey(s.domain)
	s.requestPlatform(now, platform.Request{
		Op: platform.OpCommit,
		Txn: platform.Txn{
			ID:     s.transactionID(),
			Checks: []platform.Check{{Key: key, Revision: m.revision}},
			Puts:   []platform.Put{{Key: key, Value: next.Encode()}},
		},
	}, out)
}

// transactionID returns an identifier for the next request that is unique over
// all processes.
func (s *State) transactionID() string {
	return "claims/" + string(s.self.Host) + "/" + strconv.FormatInt(int64(s.self.Started), 10) +
		"/" + strconv.FormatUint(s.manager.lastRequestID+1, 10)
}

// nextView returns the view that membership calls for and reports whether it
// differs from the known one.
func (s *State) nextView(now mesh.Time, dir Directory) (*View, bool) {
	next := &View{Domain: s.domain, Shards: make([]Shard, ShardCount)}
	if v := s.views[s.domain]; v != nil {
		next = v.clone()
	}
	live := dir.Live(s.domain)
	eligible := s.manager.eligible(live)
	changed := false
	for i := range next.Shards {
		report := s.manager.syncReports[i]
		synced := report.epoch == next.Shards[i].Epoch && report.primary == next.Shards[i].Primary
		shard, ok := nextShard(i, next.Shards[i], live, eligible, dir, synced, now)
		next.Shards[i] = shard
		changed = changed || ok
	}
	if !changed && now >= s.manager.rebalanceAt {
		s.manager.rebalanceAt = now.Add(rebalanceInterval)
		changed = rebalanceView(next, eligible)
	}
	return next, changed
}

// eligible returns the live replicas that have not announced that they are
// leaving. It also removes replicas that are no longer live from m.leaving.
func (m *manager) eligible(live []Replica) []Replica {
	for r := range m.leaving {
		if !contains(live, r) {
			delete(m.leaving, r)
		}
	}
	replicas := make([]Replica, 0, len(live))
	for _, r := range live {
		if !m.leaving[r] {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

// rebalanceView moves at most maxRebalancedShards shards of v by one step and
// reports whether v has changed.
func rebalanceView(v *View, eligible []Replica) bool {
	changed := 0
	for i := range v.Shards {
		shard, ok := rebalance(i, v.Shards[i], eligible)
		if !ok {
			continue
		}
		v.Shards[i] = shard
		if changed++; changed == maxRebalancedShards {
			break
		}
	}
	return changed > 0
}

// PlatformResult handles the result of a platform request. The stored row is
// authoritative: an unknown result, a conflict and an error all lead to a new
// read.
func (s *State) PlatformResult(now mesh.Time, r *platform.Result, out *Effects) {
	m := &s.manager
	if m.requestID == 0 || r.ID != m.requestID {
		return
	}
	proposal := m.proposal
	m.requestID, m.proposal = 0, nil
	if r.Status != platform.OK {
		m.revisionKnown = false
		return
	}
	if proposal != nil {
		s.handleCommitted(proposal, r.Rows)
	} else {
		s.handleViewRead(r.Rows)
		if now.Sub(s.self.Started) >= membershipSettleTime {
			m.actAt = m.proposeAt
		}
	}
	m.publishAt = 0
	s.publishView(now, out)
}

func (s *State) handleCommitted(v *View, rows []platform.Row) {
	s.manager.revisionKnown = false
	for _, row := range rows {
		if row.Key == ViewKey(s.domain) {
			s.manager.revision, s.manager.revisionKnown = row.Revision, true
		}
	}
	s.adopt(v)
}

func (s *State) handleViewRead(rows []platform.Row) {
	m := &s.manager
	m.revisionKnown, m.revision = true, 0
	for _, row := range rows {
		if row.Key != ViewKey(s.domain) {
			continue
		}
		m.revision = row.Revision
		if s.SetView(row.Value) != nil {
			m.revisionKnown = false // never overwrite a row that this version of the program cannot decode
		}
	}
}

// publishView passes the view to the distribution tree when it is due.
func (s *State) publishView(now mesh.Time, out *Effects) {
	v := s.views[s.domain]
	if v == nil || now < s.manager.publishAt {
		return
	}
	s.manager.publishAt = now.Add(publishInterval)
	out.Items = append(out.Items, Item{Key: ViewKey(s.domain), Step: v.Step(), Value: v.Encode()})
}
