package routing

import (
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
)

// drawTries is the number of random draws for a usable instance before the
// list is searched in order. Searching at once would give the instance after
// an ejected one a double share.
const drawTries = 8

// choice carries the arguments of one Choose through its steps.
type choice struct {
	now      mesh.Time
	random   random.Source
	excluded Excluded
	// anyStanding admits ejected instances, when nothing else is left.
	anyStanding bool
}

// Choose selects the target of an attempt. excluded lists the targets of the
// call's earlier attempts.
func (r *Router) Choose(now mesh.Time, seed uint64, name mesh.Service, excluded Excluded) Choice {
	s := r.services[name]
	if s == nil {
		return Choice{Miss: MissNoInstance}
	}
	c := choice{now: now, random: random.New(seed), excluded: excluded}
	drawn := s.drawVersion(&c)
	if inst := c.pickProbe(drawn); inst != nil {
		return r.chosen(inst, true)
	}
	if inst := c.pickFrom(s, drawn); inst != nil {
		return r.chosen(inst, false)
	}
	c.anyStanding = true
	if inst := c.pickFrom(s, drawn); inst != nil {
		return r.chosen(inst, false)
	}
	return Choice{Miss: s.miss(&c)}
}

func (r *Router) chosen(inst *instance, probe bool) Choice {
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
func (s *service) drawVersion(c *choice) *version {
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
		if v, _ := s.share(i); v != nil && !s.stopped(v.name) {
			return v
		}
		return nil
	}
	return nil
}

// weight returns the weight of the i-th version in a draw. Without a fallback
// a version that cannot be used leaves its share to the others.
func (s *service) weight(i int) int {
	v, parts := s.share(i)
	if s.shares.Fallback == "" && (v == nil || s.stopped(v.name)) {
		return 0
	}
	return parts
}

func (s *service) shareCount() int {
	if len(s.shares.Versions) > 0 {
		return len(s.shares.Versions)
	}
	return len(s.versions)
}

// share returns the i-th version and its weight: its parts during a move, the
// number of its instances otherwise. The version is nil if it has no instance.
func (s *service) share(i int) (*version, int) {
	if len(s.shares.Versions) > 0 {
		v := s.shares.Versions[i]
		return s.find(v.Version), int(v.Share)
	}
	v := s.versions[i]
	return v, len(v.local) + len(v.remote)
}

// pickFrom picks an instance of the drawn version, else of the fallback. Without
// a fallback the other versions with a share follow.
func (c *choice) pickFrom(s *service, drawn *version) *instance {
	if inst := c.pickInstance(drawn); inst != nil {
		return inst
	}
	if fallback := s.shares.Fallback; fallback != "" {
		if s.stopped(fallback) {
			return nil
		}
		return c.pickInstance(s.find(fallback))
	}
	for i := range s.shareCount() {
		v, parts := s.share(i)
		if v == nil || parts == 0 || s.stopped(v.name) {
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
func (c *choice) pickInstance(v *version) *instance {
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

// pickOfTwo draws two usable instances and returns the one with less load.
func (c *choice) pickOfTwo(list []*instance) *instance {
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

// draw returns a random usable instance other than not, or nil.
func (c *choice) draw(list []*instance, not *instance) *instance {
	if len(list) == 0 || len(list) == 1 && list[0] == not {
		return nil
	}
	at := 0
	for range drawTries {
		at = c.random.Below(len(list))
		inst := list[at]
		if inst != not && c.usable(inst) && c.random.Fraction() < inst.ramp(c.now) {
			return inst
		}
	}
	for i := range list {
		inst := list[(at+i)%len(list)]
		if inst != not && c.usable(inst) {
			return inst
		}
	}
	return nil
}

func (c *choice) usable(inst *instance) bool {
	return !c.isExcluded(inst) && c.now >= inst.avoidUntil && (!inst.ejected || c.anyStanding)
}

func (c *choice) isExcluded(inst *instance) bool {
	return slices.Contains(c.excluded.Instances, inst.ID) || slices.Contains(c.excluded.Hosts, inst.Host)
}

// pickProbe returns an ejected instance whose ejection time has ended and that
// no other call probes. Only first attempts probe.
func (c *choice) pickProbe(v *version) *instance {
	if v == nil || len(c.excluded.Instances)+len(c.excluded.Hosts) > 0 {
		return nil
	}
	if inst := c.probeOf(v.local); inst != nil {
		return inst
	}
	return c.probeOf(v.remote)
}

func (c *choice) probeOf(list []*instance) *instance {
	for _, inst := range list {
		if inst.ejected && !inst.probing && c.now >= inst.ejectedUntil && c.now >= inst.avoidUntil {
			return inst
		}
	}
	return nil
}

// utilisation returns the estimated share of busy slots of the usable
// instances; queued calls count, so that it may exceed one.
func (c *choice) utilisation(list []*instance) float64 {
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

// miss tells whether shares withheld instances that could otherwise serve.
func (s *service) miss(c *choice) Miss {
	for _, inst := range s.all {
		if c.usable(inst) {
			return MissWithheld
		}
	}
	return MissNoInstance
}
