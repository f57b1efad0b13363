package routing

import (
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
)

// maxDraws is the number of random draws for a usable instance before the list
// is searched in order. Searching in order after the first draw would give the
// instance after an ejected one a double share.
const maxDraws = 8

// selection holds the arguments of one call of Choose or ChooseVersion.
type selection struct {
	now      mesh.Time
	random   random.Source
	excluded Excluded
	// allowEjected makes ejected instances usable when no other is left.
	allowEjected bool
}

// Choose selects the target of an attempt. excluded lists the targets of the
// call's earlier attempts.
func (r *Router) Choose(now mesh.Time, seed uint64, name mesh.Service, excluded Excluded) Choice {
	s := r.services[name]
	if s == nil {
		return Choice{Miss: MissNoInstance}
	}
	c := selection{now: now, random: random.New(seed), excluded: excluded}
	drawn := s.drawVersion(&c)
	if inst := c.pickProbe(drawn); inst != nil {
		return r.reserve(inst, true)
	}
	if inst := c.pickFrom(s, drawn); inst != nil {
		return r.reserve(inst, false)
	}
	c.allowEjected = true
	if inst := c.pickFrom(s, drawn); inst != nil {
		return r.reserve(inst, false)
	}
	return Choice{Miss: s.missReason(&c)}
}

// reserve counts a call in flight to inst and returns it as the choice.
func (r *Router) reserve(inst *instance, probe bool) Choice {
	inst.inFlight++
	inst.probing = inst.probing || probe
	return Choice{
		Target: Target{Host: inst.Host, Domain: inst.Domain, Instance: inst.ID,
			Service: inst.Service, Version: inst.Version, Probe: probe, state: inst},
		Spilled: inst.Domain != r.domain,
	}
}

// drawVersion draws a version by share. It returns nil if the drawn version
// must not be used, so that the fallback takes the call, or if no version has
// a share.
func (s *service) drawVersion(c *selection) *version {
	total := 0
	for i := range s.shareCount() {
		total += s.weight(i)
	}
	if total == 0 {
		return nil
	}
	draw := c.random.Below(total)
	for i := range s.shareCount() {
		if draw -= s.weight(i); draw >= 0 {
			continue
		}
		if v, _ := s.share(i); v != nil && !s.isStopped(v.name) {
			return v
		}
		return nil
	}
	return nil
}

// weight returns the weight of the i-th version in a draw. Without a fallback,
// the share of a version that cannot be used is divided among the others.
func (s *service) weight(i int) int {
	v, weight := s.share(i)
	if s.shares.Fallback == "" && (v == nil || s.isStopped(v.name)) {
		return 0
	}
	return weight
}

// shareCount returns the number of versions that share accepts.
func (s *service) shareCount() int {
	if len(s.shares.Versions) > 0 {
		return len(s.shares.Versions)
	}
	return len(s.versions)
}

// share returns the i-th version and its weight: its share in basis points if
// Shares lists versions, as during a move, the number of its instances
// otherwise. The version is nil if it has no instance.
func (s *service) share(i int) (*version, int) {
	if len(s.shares.Versions) > 0 {
		v := s.shares.Versions[i]
		return s.findVersion(v.Version), int(v.Share)
	}
	v := s.versions[i]
	return v, len(v.local) + len(v.remote)
}

// pickFrom picks an instance of the drawn version, else of the fallback. Without
// a fallback the other versions with a share are tried.
func (c *selection) pickFrom(s *service, drawn *version) *instance {
	if inst := c.pickInstance(drawn); inst != nil {
		return inst
	}
	if fallback := s.shares.Fallback; fallback != "" {
		if s.isStopped(fallback) {
			return nil
		}
		return c.pickInstance(s.findVersion(fallback))
	}
	for i := range s.shareCount() {
		v, weight := s.share(i)
		if v == nil || weight == 0 || s.isStopped(v.name) {
			continue
		}
		if inst := c.pickInstance(v); inst != nil {
			return inst
		}
	}
	return nil
}

// pickInstance prefers the node's failure domain and spills to the others when
// the local instances are busy and a remote one is clearly less so.
func (c *selection) pickInstance(v *version) *instance {
	if v == nil {
		return nil
	}
	local := c.pickOfTwo(v.local)
	if local != nil && c.utilisation(v.local) < spillUtilisation {
		return local
	}
	remote := c.pickOfTwo(v.remote)
	if local == nil || remote != nil && remote.score(c.now)+spillMargin < local.score(c.now) {
		return remote
	}
	return local
}

// pickOfTwo draws two usable instances and returns the one with the lower score.
func (c *selection) pickOfTwo(list []*instance) *instance {
	a := c.draw(list, nil)
	if a == nil {
		return nil
	}
	b := c.draw(list, a)
	if b == nil || a.score(c.now) <= b.score(c.now) {
		return a
	}
	return b
}

// draw returns a random usable instance other than exclude, or nil.
func (c *selection) draw(list []*instance, exclude *instance) *instance {
	if len(list) == 0 || len(list) == 1 && list[0] == exclude {
		return nil
	}
	last := 0
	for range maxDraws {
		last = c.random.Below(len(list))
		inst := list[last]
		if inst != exclude && c.usable(inst) && c.random.Fraction() < inst.rampProbability(c.now) {
			return inst
		}
	}
	for i := range list {
		inst := list[(last+i)%len(list)]
		if inst != exclude && c.usable(inst) {
			return inst
		}
	}
	return nil
}

// usable reports whether the call may go to inst.
func (c *selection) usable(inst *instance) bool {
	return !c.isExcluded(inst) && c.now >= inst.avoidUntil && (!inst.ejected || c.allowEjected)
}

func (c *selection) isExcluded(inst *instance) bool {
	return slices.Contains(c.excluded.Instances, inst.ID) || slices.Contains(c.excluded.Hosts, inst.Host)
}

// pickProbe returns an ejected instance whose ejection time has ended and that
// no other call is probing, or nil. Only the first attempt of a call probes.
func (c *selection) pickProbe(v *version) *instance {
	if v == nil || len(c.excluded.Instances)+len(c.excluded.Hosts) > 0 {
		return nil
	}
	if inst := c.dueProbe(v.local); inst != nil {
		return inst
	}
	return c.dueProbe(v.remote)
}

// dueProbe returns the first instance of list that is due for a probe, or nil.
func (c *selection) dueProbe(list []*instance) *instance {
	for _, inst := range list {
		if inst.ejected && !inst.probing && c.now >= inst.ejectedUntil && c.now >= inst.avoidUntil {
			return inst
		}
	}
	return nil
}

// utilisation returns the estimated share of busy slots of the usable
// instances. Queued calls count too, so the share may exceed one.
func (c *selection) utilisation(list []*instance) float64 {
	load, slots := 0.0, 0.0
	for _, inst := range list {
		if c.usable(inst) {
			load += inst.load(c.now)
			slots += float64(inst.Slots)
		}
	}
	if slots == 0 {
		return 1
	}
	return load / slots
}

// missReason tells whether there are usable instances that the shares or the
// stopped versions rule out.
func (s *service) missReason(c *selection) Miss {
	for _, inst := range s.active {
		if c.usable(inst) {
			return MissWithheld
		}
	}
	return MissNoInstance
}
