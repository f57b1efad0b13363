// Package random is a small deterministic generator, seeded by the events of a
// reducer, so that the same events give the same choices.
package random

// Source is a SplitMix64 generator.
type Source struct{ state uint64 }

// New returns a generator that starts at a seed.
func New(seed uint64) Source { return Source{seed} }

// Next returns a number of 64 random bits.
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
