// Package random is a small deterministic generator of pseudo-random numbers. Its seed
// comes with the events of a reducer, so that the same events lead to the same choices.
package random

// Source is a SplitMix64 generator.
type Source struct{ state uint64 }

// New returns a generator with the given seed.
func New(seed uint64) Source { return Source{seed} }

// Next returns 64 pseudo-random bits.
func (r *Source) Next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Below returns a number in [0, n). n must be positive.
func (r *Source) Below(n int) int { return int((r.Next() >> 33) % uint64(n)) }

// Fraction returns a number in [0, 1).
func (r *Source) Fraction() float64 { return float64(r.Next()>>11) / (1 << 53) }
