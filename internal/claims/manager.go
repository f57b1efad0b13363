package claims

import (
	"strconv"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Pace of the manager.
const (
	// manageInterval is the pause between view changes of a domain, so that a
	// mass restart costs a few writes.
	manageInterval = time.Second
	// rebalanceInterval and rebalanceShards bound the transfers that only even
	// out the load, because each change of a view travels to every node.
	rebalanceInterval = 5 * time.Second
	rebalanceShards   = 4
	// settleTime is the age from which a process that becomes manager replaces
	// members that have left at once. A younger one may know few of the members,
	// and its view would be followed by many transfers.
	settleTime = 10 * time.Second
	// platformTimeout is the time after which an unanswered platform request
	// is given up and the row read again.
	platformTimeout = 5 * time.Second
	// publishInterval is the pause between deliveries of an unchanged view, for
	// nodes that joined since.
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
	// hosts are the nodes that primaries report to.
	hosts  []mesh.HostID
	synced [ShardCount]syncReport
	// leaving holds the replicas that announced that they stop soon.
	leaving  map[Replica]bool
	known    bool
	revision platform.Revision
	nextID   uint64
	request  uint64 // of the platform request in flight, 0 for none
	proposal *View  // of the commit in flight, nil for a read
	sentAt   mesh.Time
	actAt    mesh.Time
	// proposeAt is the earliest time of the next proposal.
	proposeAt mesh.Time
	// rebalanceAt and publishAt are the times of the next transfer for balance
	// and of the next delivery of the view.
	rebalanceAt mesh.Time
	publishAt   mesh.Time
}

// SetManagers names the nodes that propose view changes in this domain.
func (s *State) SetManagers(hosts []mesh.HostID) { s.manager.hosts = hosts }

func (s *State) tickManager(now mesh.Time, dir Directory, active bool, out *Effects) {
	m := &s.manager
	if !active || s.stopped {
		m.known = false
		return
	}
	if m.request != 0 {
		if now.Sub(m.sentAt) < platformTimeout {
			return
		}
		m.request, m.known = 0, false
	}
	if now < m.actAt {
		return
	}
	m.actAt = now.Add(manageInterval)
	if !m.known {
		s.readView(now, out)
		return
	}
	m.proposeAt = m.actAt
	s.proposeView(now, dir, out)
	s.republish(now, out)
}

func (s *State) readView(now mesh.Time, out *Effects) {
	s.request(now, platform.Request{Op: platform.OpRead, Keys: []string{ViewKey(s.domain)}}, out)
}

func (s *State) request(now mesh.Time, r platform.Request, out *Effects) {
	s.manager.nextID++
	r.ID = s.manager.nextID
	s.manager.request, s.manager.sentAt = r.ID, now
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
	s.request(now, platform.Request{
		Op: platform.OpCommit,
		Txn: platform.Txn{
			ID:     s.transactionID(),
			Checks: []platform.Check{{Key: key, Revision: m.revision}},
			Puts:   []platform.Put{{Key: key, Value: next.Encode()}},
		},
	}, out)
}

func (s *State) transactionID() string {
	return "claims/" + string(s.self.Host) + "/" + strconv.FormatInt(int64(s.self.Started), 10) +
		"/" + strconv.FormatUint(s.manager.nextID+1, 10)
}

func (s *State) nextView(now mesh.Time, dir Directory) (*View, bool) {
	next := &View{Domain: s.domain, Shards: make([]Shard, ShardCount)}
	if v := s.views[s.domain]; v != nil {
		next = v.clone()
	}
	live := dir.Live(s.domain)
	staying := s.manager.staying(live)
	changed := false
	for i := range next.Shards {
		report := s.manager.synced[i]
		synced := report.epoch == next.Shards[i].Epoch && report.primary == next.Shards[i].Primary
		shard, ok := nextShard(i, next.Shards[i], live, staying, dir, synced, now)
		next.Shards[i] = shard
		changed = changed || ok
	}
	if !changed && now >= s.manager.rebalanceAt {
		s.manager.rebalanceAt = now.Add(rebalanceInterval)
		changed = rebalanceSome(next, staying)
	}
	return next, changed
}

// staying returns the live replicas that are not about to leave, and forgets
// the leaving ones that are no longer live.
func (m *manager) staying(live []Replica) []Replica {
	for r := range m.leaving {
		if !contains(live, r) {
			delete(m.leaving, r)
		}
	}
	staying := make([]Replica, 0, len(live))
	for _, r := range live {
		if !m.leaving[r] {
			staying = append(staying, r)
		}
	}
	return staying
}

func rebalanceSome(v *View, live []Replica) bool {
	moved := 0
	for i := range v.Shards {
		shard, ok := rebalance(i, v.Shards[i], live)
		if !ok {
			continue
		}
		v.Shards[i] = shard
		if moved++; moved == rebalanceShards {
			break
		}
	}
	return moved > 0
}

// PlatformResult handles the result of a request. Only the row decides: a lost
// answer, a conflict and an error all lead to a new read.
func (s *State) PlatformResult(now mesh.Time, r *platform.Result, out *Effects) {
	m := &s.manager
	if m.request == 0 || r.ID != m.request {
		return
	}
	proposal := m.proposal
	m.request, m.proposal = 0, nil
	if r.Status != platform.OK {
		m.known = false
		return
	}
	if proposal != nil {
		s.committed(proposal, r.Rows)
	} else {
		s.viewRead(r.Rows)
		if now.Sub(s.self.Started) >= settleTime {
			m.actAt = m.proposeAt
		}
	}
	m.publishAt = 0
	s.republish(now, out)
}

func (s *State) committed(v *View, rows []platform.Row) {
	s.manager.known = false
	for _, row := range rows {
		if row.Key == ViewKey(s.domain) {
			s.manager.revision, s.manager.known = row.Revision, true
		}
	}
	s.adopt(v)
}

func (s *State) viewRead(rows []platform.Row) {
	m := &s.manager
	m.known, m.revision = true, 0
	for _, row := range rows {
		if row.Key != ViewKey(s.domain) {
			continue
		}
		m.revision = row.Revision
		if s.SetView(row.Value) != nil {
			m.known = false // never overwrite a row that this version cannot read
		}
	}
}

// republish hands the view to the distribution tree.
func (s *State) republish(now mesh.Time, out *Effects) {
	v := s.views[s.domain]
	if v == nil || now < s.manager.publishAt {
		return
	}
	s.manager.publishAt = now.Add(publishInterval)
	out.Items = append(out.Items, Item{Key: ViewKey(s.domain), Step: v.Step(), Value: v.Encode()})
}
