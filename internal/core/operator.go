package core

import (
	"strconv"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/distribution"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

const (
	// operatorDeadline bounds a command that needs the platform. It is shorter
	// than the timeout of the operator tool, so that the tool receives the reason
	// of a failure.
	operatorDeadline = 10 * time.Second
	// handoverTimeout bounds the time that a leaving node waits for other nodes
	// to take over its claim shards, the parts of the failure domain's claims of
	// which it keeps the records (see package claims).
	handoverTimeout = 800 * time.Millisecond
	// drainAcceptTime is the time after the announcement to leave in which a node
	// still accepts and forwards calls, so that callers can switch to other nodes.
	drainAcceptTime = 500 * time.Millisecond
	// drainMinTime is the least time between the announcement to leave and the
	// exit, so that the announcement reaches the other nodes.
	drainMinTime = time.Second
)

// operator runs a command.
func (n *Node) operator(ev *Event, out *Ready) {
	req := ev.Operator
	switch {
	case req.Apply != nil:
		n.operatorApply(ev, out)
	case req.History != nil:
		n.publish.ReadHistory(ev.Now, &publish.ReadHistory{
			Request: publish.RequestID(req.ID), Limit: req.History.Limit, Deadline: ev.Now.Add(operatorDeadline),
		}, &n.scratch.publish)
		n.flushPublish(ev.Now, out)
	case req.Status != nil:
		out.Replies = append(out.Replies, OperatorReply{ID: req.ID, Status: n.status(req.Status.WithSnapshot)})
	case req.Nodes != nil:
		out.Replies = append(out.Replies, OperatorReply{ID: req.ID, Nodes: n.nodes()})
	case req.Forget != nil:
		n.operatorForget(ev, out)
	case req.StartMove != nil:
		n.operatorStartMove(ev, out)
	case req.Withdraw != nil:
		n.moves.Withdraw(ev.Now, &moves.WithdrawRequest{ID: req.ID, Move: req.Withdraw.Move}, &n.scratch.moves)
		n.flushMoves(out)
	case req.Moves != nil:
		out.Replies = append(out.Replies, OperatorReply{ID: req.ID, Moves: n.moves.States(nil)})
	case req.Drain != nil:
		n.drain(ev, out)
		out.Replies = append(out.Replies, OperatorReply{ID: req.ID})
	default:
		out.Replies = append(out.Replies, OperatorReply{ID: req.ID, Err: "operator request contains no command"})
	}
}

func (n *Node) operatorApply(ev *Event, out *Ready) {
	req := ev.Operator
	snapshot, err := config.Decode(req.Apply.Snapshot)
	if err != nil {
		out.Replies = append(out.Replies, OperatorReply{ID: req.ID, Err: err.Error()})
		return
	}
	n.pendingApplies[req.ID] = req.Apply.Snapshot
	n.publish.Apply(ev.Now, &publish.Apply{
		Request: publish.RequestID(req.ID), Operation: req.Apply.Operation, Operator: req.Apply.Operator,
		Note: req.Apply.Note, Base: req.Apply.Base, Snapshot: snapshot, Deadline: ev.Now.Add(operatorDeadline),
	}, &n.scratch.publish)
	n.flushPublish(ev.Now, out)
}

// flushPublish sends platform requests and replies. An accepted configuration
// is distributed at once.
func (n *Node) flushPublish(now mesh.Time, out *Ready) {
	e := &n.scratch.publish
	appendPlatformRequests(OwnerPublish, e.Platform, out)
	for i := range e.Replies {
		r := &e.Replies[i]
		id := uint64(r.Request)
		body, isApply := n.pendingApplies[id]
		delete(n.pendingApplies, id)
		if isApply && r.Status == publish.Done {
			out.Timeline = append(out.Timeline, TimelineEntry{Kind: "config.accepted", Config: r.Version, Host: n.settings.Host})
			n.dist.Published(now, distribution.Head{Version: r.Version, Hash: string(r.Hash)}, body, &n.scratch.dist)
		}
		reply := *r
		out.Replies = append(out.Replies, OperatorReply{ID: id, Publish: &reply})
	}
	e.Reset()
	n.flushDist(now, out)
}

func (n *Node) operatorForget(ev *Event, out *Ready) {
	reply := OperatorReply{ID: ev.Operator.ID}
	if err := n.members.Forget(ev.Now, ev.Operator.Forget.Host, &n.scratch.members); err != nil {
		reply.Err, reply.Refusal = err.Error(), refusalOf(err)
	}
	n.flushMembers(ev.Now, out)
	out.Replies = append(out.Replies, reply)
}

func (n *Node) operatorStartMove(ev *Event, out *Ready) {
	req := ev.Operator.StartMove
	n.moves.Start(ev.Now, &moves.StartRequest{
		ID: ev.Operator.ID, Move: req.Move, Service: req.Service, From: req.From, To: req.To,
		Deadline: req.Deadline, KeepOld: n.keepReady(req.Service),
	}, &n.scratch.moves)
	n.flushMoves(out)
}

// keepReady returns the time for which the old version of a service is kept
// ready after a move.
func (n *Node) keepReady(name mesh.Service) time.Duration {
	if n.accepted != nil {
		for _, s := range n.accepted.Snapshot.Services {
			if s.Name == name {
				return time.Duration(s.KeepReadySeconds) * time.Second
			}
		}
	}
	return defaultKeepReady
}

func (n *Node) status(withSnapshot bool) *Status {
	_, known := n.dist.Floor()
	s := &Status{
		Host: n.settings.Host, Head: n.dist.Head(), Applied: n.dist.AppliedHead(), FloorKnown: known,
		InForce: n.dist.InForce(), Rejections: n.dist.Rejections(),
		Readers: n.members.Readers(n.settings.Domain), Counters: n.Counters(),
	}
	if withSnapshot && n.accepted != nil {
		s.Snapshot = n.accepted.Encoded
	}
	return s
}

func (n *Node) nodes() []NodeStatus {
	var list []NodeStatus
	for _, d := range n.members.Domains() {
		for _, m := range n.members.Members(d) {
			list = append(list, NodeStatus{Record: *m, Unreachable: n.members.Unreachable(d)})
		}
	}
	return list
}

func moveTimelineEntry(host mesh.HostID, e *moves.Event) TimelineEntry {
	entry := TimelineEntry{Kind: "move." + moveEventNames[e.Kind], Move: e.Move, Host: host}
	entry.Detail = e.State.String() + " step " + strconv.FormatUint(e.Step, 10) + " share " + strconv.Itoa(int(e.Share)) + "/10000"
	if e.Cause != moves.CauseNone {
		entry.Detail += ", " + e.Cause.String()
	}
	if e.Route != "" {
		entry.Detail += " on route " + string(e.Route)
	}
	return entry
}

var moveEventNames = map[moves.EventKind]string{
	moves.EventStep:        "step",
	moves.EventStopped:     "stopped",
	moves.EventPaused:      "paused",
	moves.EventLeaseTaken:  "lease_taken",
	moves.EventLeaseLost:   "lease_lost",
	moves.EventEarlyReport: "early_report",
}

// drain starts a graceful stop: it starts to hand over the claim shards, announces
// the backend servers as draining and closes the gate to new calls.
func (n *Node) drain(ev *Event, out *Ready) {
	if n.drainStartedAt != 0 {
		return
	}
	n.drainStartedAt = ev.Now
	n.claims.Leave()
	n.announceDraining(ev.Now, out)
	n.scratch.gate = n.gate.Drain(ev.Now, n.scratch.gate)
	n.flushGate(out)
	out.Timeline = append(out.Timeline, TimelineEntry{Kind: "node.draining", Host: n.settings.Host})
}

// announceDraining announces the backend servers of this host as draining, so
// that all nodes stop routing calls to them before this node leaves.
func (n *Node) announceDraining(now mesh.Time, out *Ready) {
	for _, a := range n.members.Backends() {
		a.Draining = true
		if n.members.Announce(now, a, &n.scratch.members) != nil {
			n.counters.BadMessages++ // unreachable: the announcement was accepted before
		}
	}
	n.flushMembers(now, out)
}

// continueDrain leaves the mesh once other nodes own the claim shards, or after
// handoverTimeout. The node stops granting claims before it announces that it
// leaves, because other nodes take the announcement as proof that it grants none.
func (n *Node) continueDrain(now mesh.Time, out *Ready) {
	if n.drainStartedAt == 0 || n.leftAt != 0 {
		return
	}
	if n.claims.OwnsShards() && now.Sub(n.drainStartedAt) < handoverTimeout && !n.members.Expelled() {
		return
	}
	n.leftAt = now
	n.claims.Stop()
	n.members.Leave(now, &n.scratch.members)
	n.flushMembers(now, out)
}

// refusesCalls reports whether the node is so far into a graceful stop that it
// no longer accepts calls from callers.
func (n *Node) refusesCalls(now mesh.Time) bool {
	return n.leftAt != 0 && now.Sub(n.leftAt) >= drainAcceptTime
}

// checkDrained reports the end of a graceful stop to the runtime once no call is
// in progress and drainMinTime has passed.
func (n *Node) checkDrained(now mesh.Time, out *Ready) {
	if n.leftAt != 0 && now.Sub(n.leftAt) >= drainMinTime && n.gate.Empty() && len(n.calls) == 0 {
		out.Drained = true
	}
}
