package routing

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
)

// ChooseVersion selects an instance of the pinned version that a move has fixed
// for the call. When that version has no usable instance, an instance of fallback
// is selected; an empty fallback means that there is none.
func (r *Router) ChooseVersion(now mesh.Time, seed uint64, name mesh.Service, pinned, fallback mesh.BackendVersion, excluded Excluded) Choice {
	s := r.services[name]
	if s == nil {
		return Choice{Miss: MissNoInstance}
	}
	c := selection{now: now, random: random.New(seed), excluded: excluded}
	if inst := c.pickProbe(s.findVersion(pinned)); inst != nil {
		return r.reserve(inst, true)
	}
	for _, allowEjected := range [...]bool{false, true} {
		c.allowEjected = allowEjected
		if inst := c.pickInstance(s.findVersion(pinned)); inst != nil {
			return r.reserve(inst, false)
		}
		if inst := c.pickInstance(s.findVersion(fallback)); fallback != "" && inst != nil {
			return r.reserve(inst, false)
		}
	}
	return Choice{Miss: s.missReason(&c)}
}
