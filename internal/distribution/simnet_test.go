package distribution

import (
	"slices"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// simEnvelope carries the messages of one step from a host to one peer.
type simEnvelope struct {
	From         mesh.HostID
	Incarnation  mesh.Incarnation
	Clock        uint64
	Membership   []membership.Message
	Distribution []Message
}

// simPacket is the encoded form of an envelope.
type simPacket struct {
	From         mesh.HostID
	Incarnation  mesh.Incarnation
	Clock        uint64
	Membership   []byte
	Distribution []byte
}

func (e *simEnvelope) encode() *simPacket {
	p := &simPacket{From: e.From, Incarnation: e.Incarnation, Clock: e.Clock}
	if len(e.Membership) > 0 {
		p.Membership = membership.EncodeMessages(e.Membership)
	}
	if len(e.Distribution) > 0 {
		p.Distribution = EncodeMessages(e.Distribution)
	}
	return p
}

func (p *simPacket) decode() *simEnvelope {
	e := &simEnvelope{From: p.From, Incarnation: p.Incarnation, Clock: p.Clock}
	var err error
	if len(p.Membership) > 0 {
		if e.Membership, err = membership.DecodeMessages(p.Membership); err != nil {
			panic(err)
		}
	}
	if len(p.Distribution) > 0 {
		if e.Distribution, err = DecodeMessages(p.Distribution); err != nil {
			panic(err)
		}
	}
	return e
}

// dispatch groups the messages of a step by peer and sends the envelopes.
func (s *sim) dispatch(h *simHost) {
	var order []string
	envelopes := map[string]*simEnvelope{}
	envelope := func(addr string) *simEnvelope {
		e, ok := envelopes[addr]
		if !ok {
			e = &simEnvelope{From: h.id, Incarnation: h.members.Self().Incarnation, Clock: uint64(s.now) << 8}
			envelopes[addr] = e
			order = append(order, addr)
		}
		return e
	}
	for _, send := range h.memberOut.Sends {
		e := envelope(send.Addr)
		e.Membership = append(e.Membership, send.Message)
	}
	for _, send := range h.distOut.Sends {
		addr, ok := h.members.Addr(send.To)
		if !ok {
			continue
		}
		s.logMessage(h, send)
		e := envelope(addr)
		e.Distribution = append(e.Distribution, send.Message)
	}
	for _, addr := range order {
		s.transmit(h, s.addrs[addr], envelopes[addr])
	}
}

func (s *sim) logMessage(h *simHost, send Send) {
	m := &send.Message
	switch {
	case m.Push != nil && m.Push.Base != 0:
		s.logf(h, "push %s as delta from %s to %s", m.Push.Head.Version, m.Push.Base, send.To)
	case m.Push != nil && len(m.Push.Full) == 0:
		s.logf(h, "tell %s of %s", send.To, m.Push.Head.Version)
	case m.Push != nil:
		s.logf(h, "push %s in full to %s", m.Push.Head.Version, send.To)
	case m.Pull != nil:
		s.logf(h, "pull %s from %s, have %s", m.Pull.Want, send.To, m.Pull.Have)
	case m.FreshRequest != 0:
		s.logf(h, "ask %s for a fresh head", send.To)
	case m.FreshHead != nil:
		s.logf(h, "relay fresh head %s to %s", m.FreshHead.Head.Version, send.To)
	}
}

// transmit encodes an envelope and delivers it with the delay, loss and
// duplication of the simulated network.
func (s *sim) transmit(from, to *simHost, e *simEnvelope) {
	if s.transfer != nil {
		e = s.transfer(from, to, e)
	} else {
		e = e.encode().decode()
	}
	if s.loss > 0 && s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.duplicate > 0 && s.rng.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		delay := simLocalDelay
		if from.domain != to.domain {
			delay = simRemoteDelay
		}
		if s.extraDelay > 0 {
			delay += time.Duration(s.rng.Int64N(int64(s.extraDelay)))
		}
		s.schedule(delay, func() {
			if to.up && (s.blocked == nil || !s.blocked(from, to)) {
				s.deliver(to, e)
			}
		})
	}
}

func (s *sim) deliver(to *simHost, e *simEnvelope) {
	if to.paused {
		to.undelivered = append(to.undelivered, *e)
		return
	}
	s.step(to, func() {
		for i := range e.Membership {
			to.members.Receive(s.now, e.From, e.Incarnation, &e.Membership[i], &to.memberOut)
		}
		for i := range e.Distribution {
			to.dist.Receive(s.now, e.From, &e.Distribution[i], &to.distOut)
		}
	})
}

// handlePlatformRequest answers a request from the rows and objects as they
// are when the request arrives at the platform.
func (s *sim) handlePlatformRequest(h *simHost, req platform.Request) {
	s.readsPerSecond[int64(s.now/mesh.Time(time.Second))]++
	process := h.process
	answer := func(d time.Duration, res platform.Result) {
		s.schedule(d, func() {
			if h.up && h.process == process && !h.paused {
				s.step(h, func() { h.dist.PlatformResult(s.now, &res, &h.distOut) })
			}
		})
	}
	if req.Op == platform.OpGetObject {
		s.logf(h, "read object")
	}
	s.schedule(simPlatformOneWay, func() {
		res := platform.Result{ID: req.ID, Op: req.Op, Status: platform.OK}
		if s.platformDown || (s.noPlatform != nil && s.noPlatform(h)) {
			res.Status = platform.Unknown
			answer(simPlatformTimeout, res)
			return
		}
		for _, key := range sortedKeys(s.rows) {
			if slices.Contains(req.Keys, key) || slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) }) {
				res.Rows = append(res.Rows, platform.Row{Key: key, Value: s.rows[key], Revision: 1})
			}
		}
		if req.Op == platform.OpGetObject {
			object, ok := s.objects[req.Hash]
			if res.Object = object; !ok {
				res.Status = platform.NotFound
			}
		}
		answer(simPlatformOneWay, res)
	})
}
