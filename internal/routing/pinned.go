package routing

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
)

// ChooseVersion selects an instance of one version, as a move demands it. When
// that version has no usable instance, an instance of fallback is taken; an
// empty fallback stands for none.
func (r *Router) ChooseVersion(now mesh.Time, seed uint64, name mesh.Service, pinned, fallback mesh.BackendVersion, excluded Excluded) Choice {
	s := r.services[name]
	if s == nil {
		return Choice{Miss: MissNoInstance}
	}
	c := choice{now: now, random: random.New(seed), excluded: excluded}
	if inst := c.pickProbe(s.find(pinned)); inst != nil {
		return r.chosen(inst, true)
	}
	for _, anyStanding := range [...]bool{false, true} {
		c.anyStanding = anyStanding
		if inst := c.pickInstance(s.find(pinned)); inst != nil {
			return r.chosen(inst, false)
		}
		if inst := c.pickInstance(s.find(fallback)); fallback != "" && inst != nil {
			return r.chosen(inst, false)
		}
	}
	return Choice{Miss: s.miss(&c)}
}
