package workcost

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// tableSets and tableWays bound the values of a feature that a table holds. A new
	// value replaces the one of its set that has the least weight, so invented values
	// replace each other and leave the frequent ones.
	tableSets = 64
	tableWays = 4
	// halfLife is the time in which the weight of what was learned about a value halves
	// without new samples.
	halfLife = 2 * time.Minute
	// maxWeight bounds the weight of a value, so that a change of its work shows after
	// about as many samples.
	maxWeight = 48
	// priorWeight is the weight, in samples, of the assumption that a value has no
	// effect. Among 2, 4, 8 and 16, the error on the generated loads was least at 4.
	priorWeight = 4
)

// effect is what was learned about one value of a feature.
type effect struct {
	key    uint64
	log    float64 // mean logarithm of the work, relative to requests without this value
	weight float64 // number of samples, decayed as of at
	at     mesh.Time
}

// table holds the effects of the values of one feature.
type table [tableSets][tableWays]effect

func (t *table) find(key uint64) *effect {
	set := &t[key>>1%tableSets]
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// weightAt returns the weight at a time.
func (e *effect) weightAt(now mesh.Time) float64 {
	return e.weight * math.Exp2(-float64(now.Sub(e.at))/float64(halfLife))
}

// at returns the effect of a value, drawn towards zero while it has few samples.
func (t *table) at(now mesh.Time, key uint64) float64 {
	e := t.find(key)
	if e == nil {
		return 0
	}
	w := e.weightAt(now)
	return e.log * w / (w + priorWeight)
}

// add adds a sample of a value's effect.
func (t *table) add(now mesh.Time, key uint64, sample float64) {
	e := t.find(key)
	if e == nil {
		set := &t[key>>1%tableSets]
		e = &set[0]
		for i := range set {
			if set[i].weightAt(now) < e.weightAt(now) {
				e = &set[i]
			}
		}
		*e = effect{key: key}
	}
	w := e.weightAt(now) + 1
	e.log += (sample - e.log) / w
	e.weight, e.at = min(w, maxWeight), now
}
