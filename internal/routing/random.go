package routing

// random is a small deterministic generator (SplitMix64) seeded per choice.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a number in [0, n). n must be positive.
func (r *random) below(n int) int { return int((r.next() >> 33) % uint64(n)) }

// fraction returns a number in [0, 1).
func (r *random) fraction() float64 { return float64(r.next()>>11) / (1 << 53) }
