// Package workcost predicts the work of a request, relative to the mean work of its
// route, from what is known before it runs. It learns from the durations of requests,
// and finds by measurement which features of a request explain them. It is deterministic
// and does no I/O.
package workcost

import (
	"math"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// The candidates of a route: the mean of the route, one for each feature, and the sum of
// the effects of all features that explain something. They all learn from each sample.
const (
	meanOnly   = 0
	firstAlone = 1 // candidate of the first feature
	combined   = firstAlone + int(features)
	candidates = combined + 1
)

const (
	// errorWeight is the weight of a new sample in the averages of a candidate's error.
	errorWeight = 1.0 / 256
	// minSamples is the number of samples of a route before its work is predicted.
	minSamples = 24
	// minGain is the least share of the variance that a candidate must explain to be
	// used. Without it, a load without visible differences is predicted 1% worse than
	// by its mean until 400 samples were seen.
	minGain = 0.04
	// meanWeight is the weight of a new sample in the mean logarithm of a route.
	meanWeight = 1.0 / 128
	// maxResidual bounds the logarithm by which a sample may differ from its prediction,
	// so that a stalled request hardly counts.
	maxResidual = 2
	// maxFactor bounds predictions in both directions.
	maxFactor = 16
	// maxRoutes bounds the routes. Each takes about 80 KB.
	maxRoutes = 48
)

// average is a moving average whose first samples have equal weight.
type average struct {
	value   float64
	samples int
}

func (a *average) add(v, weight float64) {
	a.samples++
	a.value += (v - a.value) * max(weight, 1/float64(a.samples))
}

// candidate is one way to predict the work of a route's requests.
type candidate struct {
	squaredError average // of the logarithm, measured before learning
	norm         average // mean of the predicted factors before they are scaled to a mean of 1
}

// route holds what was learned about a route.
type route struct {
	log         average // mean logarithm
	alone       [features]table
	joint       [features]table
	candidates  [candidates]candidate
	chosen      int
	learnedAt   mesh.Time
	predictions [candidates]float64 // logarithms relative to the mean, of the current request
}

// Estimator is not safe for concurrent use.
type Estimator struct {
	routes map[mesh.Route]*route
	ready  bool
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{routes: make(map[mesh.Route]*route)} }

// Ready reports whether any route has had enough samples for a prediction.
func (e *Estimator) Ready() bool { return e.ready }

// Factor predicts the work of a request as a multiple of the mean of its route. It is
// zero until the route has enough samples, and 1 if no feature explains the work.
func (e *Estimator) Factor(now mesh.Time, r Request) float64 {
	known := e.routes[r.Route]
	if known == nil || known.log.samples < minSamples {
		return 0
	}
	if known.chosen == meanOnly {
		return 1
	}
	k := r.keys()
	known.predict(now, &k)
	c := &known.candidates[known.chosen]
	return bounded(math.Exp(known.predictions[known.chosen]) / c.norm.value)
}

func bounded(factor float64) float64 { return min(max(factor, 1.0/maxFactor), maxFactor) }

// predict sets the predictions of all candidates.
func (r *route) predict(now mesh.Time, k *keys) {
	r.predictions[combined] = 0
	for f := range features {
		r.predictions[firstAlone+int(f)] = r.alone[f].at(now, k[f])
		if r.explains(f) {
			r.predictions[combined] += r.joint[f].at(now, k[f])
		}
	}
}

// explained returns the share of the variance that a candidate explains, negative if it
// is worse than the mean.
func (r *route) explained(candidate int) float64 {
	total := r.candidates[meanOnly].squaredError.value
	if total == 0 {
		return 0
	}
	return 1 - r.candidates[candidate].squaredError.value/total
}

// explains reports whether a feature is part of the combined candidate. After 100
// samples of the generated loads, a threshold of zero explained 18% of the variance, and
// one of minGain 13%.
func (r *route) explains(f Feature) bool { return r.explained(firstAlone+int(f)) > 0 }

// Record adds the measured work of a request as a multiple of the mean of its route,
// corrected for the speed of the instance. Only successful runs count.
func (e *Estimator) Record(now mesh.Time, q Request, work float64) {
	if !(work > 0) {
		return
	}
	r := e.routes[q.Route]
	if r == nil {
		r = &route{}
		e.makeRoom()
		e.routes[q.Route] = r
	}
	r.learnedAt = now
	k := q.keys()
	r.predict(now, &k)
	log := math.Log(bounded(work))
	if r.log.samples > 0 {
		r.learn(now, &k, log-r.log.value)
	}
	r.log.add(log, meanWeight)
	e.ready = e.ready || r.log.samples >= minSamples
}

// makeRoom removes the route without samples for the longest time if there are too many.
func (e *Estimator) makeRoom() {
	if len(e.routes) < maxRoutes {
		return
	}
	oldest, found := mesh.Route(""), false
	for name, r := range e.routes {
		o := e.routes[oldest]
		if !found || r.learnedAt < o.learnedAt || r.learnedAt == o.learnedAt && name < oldest {
			oldest, found = name, true
		}
	}
	delete(e.routes, oldest)
}

// learn adds a sample, as a logarithm relative to the mean, to all candidates.
func (r *route) learn(now mesh.Time, k *keys, log float64) {
	for i := range r.candidates {
		c := &r.candidates[i]
		residual := clip(log - r.predictions[i])
		c.squaredError.add(residual*residual, errorWeight)
		c.norm.add(math.Exp(r.predictions[i]), errorWeight)
	}
	residual := clip(log - r.predictions[combined])
	for f := range features {
		r.alone[f].add(now, k[f], clip(log))
		own := 0.0
		if r.explains(f) {
			own = r.joint[f].at(now, k[f])
		}
		r.joint[f].add(now, k[f], residual+own)
	}
	r.choose()
}

func clip(residual float64) float64 { return min(max(residual, -maxResidual), maxResidual) }

// choose selects the candidate with the least error.
func (r *route) choose() {
	r.chosen = meanOnly
	if r.log.samples < minSamples {
		return
	}
	best := minGain
	for i := firstAlone; i < candidates; i++ {
		if gain := r.explained(i); gain > best {
			r.chosen, best = i, gain
		}
	}
}

// Explained returns the share of the variance of a route's work, on a logarithmic
// scale, that is explained by each feature alone and by all of them together. It was
// measured by predicting each sample before learning from it.
func (e *Estimator) Explained(name mesh.Route) (alone [features]float64, all float64) {
	r := e.routes[name]
	if r == nil {
		return alone, 0
	}
	for f := range features {
		alone[f] = r.explained(firstAlone + int(f))
	}
	return alone, r.explained(combined)
}
