package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

const (
	// quotaRowKey is the key of the row of the quotas' coordinator in TableShared.
	quotaRowKey  = "quota/coordinator"
	methodQuota  = peerService + ".Quota"
	methodTokens = peerService + ".Admit"
)

// Quota answers the report of a host. The answer is empty if this host isn't the
// coordinator.
func (s *PeerService) Quota(r quota.Report, out *quota.Grant) error {
	*out = s.node.handleQuotaReport(r)
	return nil
}

func (n *Node) handleQuotaReport(r quota.Report) quota.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.effects.Reset()
	n.reducer.Step(n.now(), rand.Uint64(), proxy.QuotaReported{Report: r}, &n.effects)
	n.executeEffects()
	return n.effects.QuotaGrant
}

// sendQuotaReport sends a report to the coordinator and applies the answer. The reducer
// sends the next one only after an answer or a pause longer than the call may take.
func (p *peerSet) sendQuotaReport(r proxy.QuotaReport) {
	go func() {
		var grant quota.Grant
		if err := p.call(r.Addr, methodQuota, r.Report, &grant, peerTimeout); err != nil {
			p.node.log.Line(time.Now(), "quota.report_failed", "coordinator", r.Addr, "error", err.Error())
			return
		}
		p.node.step(proxy.QuotaGranted{Grant: grant})
	}()
}

// Admit answers the request of a host of this failure domain for the admission of requests.
func (s *PeerService) Admit(q proxy.TokenRequest, out *proxy.TokenAnswer) error {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.effects.Reset()
	n.reducer.Step(n.now(), rand.Uint64(), proxy.TokensRequested{Request: q}, &n.effects)
	n.executeEffects()
	*out = n.effects.TokenAnswer
	return nil
}

// sendTokenRequest sends a request to a token server and applies the answer.
func (p *peerSet) sendTokenRequest(q proxy.AddressedTokenRequest) {
	go func() {
		answered := proxy.TokensAnswered{From: q.To, Sequence: q.Sequence}
		if err := p.call(q.Addr, methodTokens, q.Request, &answered.Answer, proxy.TokenRequestTimeout); err != nil {
			p.node.log.Line(time.Now(), "quota.token_request_failed", "token_server", string(q.To), "error", err.Error())
			answered.Failed = true
		}
		p.node.step(answered)
	}()
}

// queueQuotaWrite queues a write of the coordinator's row. It never blocks.
func (n *Node) queueQuotaWrite(w quota.RowWrite) {
	select {
	case n.quotaWrites <- w:
	default: // the reducer repeats a write whose row doesn't show up
	}
}

func (n *Node) writeQuotaRows(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.quotaWrites:
			if err := n.writeQuotaRow(ctx, w); err != nil {
				n.log.Line(time.Now(), "quota.write_failed", "term", w.Row.Term, "beat", w.Row.Beat, "error", err.Error())
			}
		}
	}
}

func (n *Node) writeQuotaRow(ctx context.Context, w quota.RowWrite) error {
	value, err := json.Marshal(w.Row)
	if err != nil {
		return errorx.Decorate(err, "encode the row %s", quotaRowKey)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.ioCounters.storeWrites.Add(1)
	expected := platform.Revision(w.Expect)
	if expected == 0 { // a missing row is missing in the current era of the store
		expected = platform.NewRevision(n.replicas[TableShared].completeRevision().Era(), 0)
	}
	revision, current, err := n.platform.Commit(ctx, platform.Check{Key: quotaRowKey, Revision: expected},
		[]Write{{Table: TableShared, Put: platform.Put{Key: quotaRowKey, Value: value}}})
	switch {
	case err == nil:
		n.applyWrittenRow(platform.Row{Key: quotaRowKey, Value: value, Revision: revision})
	case errorx.IsOfType(err, ErrConflict) && current.Revision.Version() == 0:
		n.step(proxy.QuotaRowSeen{}) // the row was removed
	case errorx.IsOfType(err, ErrConflict):
		n.applyWrittenRow(current)
	}
	return err
}

// applyQuotaRow applies the row of the coordinator. A row that no node can have written
// names no holder, so that another host replaces it.
func (n *Node) applyQuotaRow(c Change) {
	if c.Deleted {
		n.step(proxy.QuotaRowSeen{})
		return
	}
	var row quota.Row
	if err := json.Unmarshal(c.Value, &row); err != nil || row.Term > quota.MaxTerm || row.Beat > quota.MaxTerm {
		n.log.Line(time.Now(), "store.row_unreadable", "key", c.Key, "error", errorText(err))
		row = quota.Row{}
	}
	row.Revision = uint64(c.Revision)
	n.step(proxy.QuotaRowSeen{Row: row})
}
