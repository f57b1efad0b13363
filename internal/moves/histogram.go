package moves

import (
	"math/bits"
	"time"
)

// Buckets is the number of buckets of a Histogram.
const Buckets = 32

// firstBucket is the upper bound of the first bucket. Two buckets cover each
// doubling of the latency, so that the last one begins at about 11 s.
const firstBucket = 256 * time.Microsecond

// Histogram counts latencies in buckets whose bounds grow by about the square
// root of two.
type Histogram [Buckets]uint32

// bucketOf returns the index of the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d < firstBucket {
		return 0
	}
	ratio := uint64(d / (firstBucket / 16)) // at least 16
	octave := bits.Len64(ratio) - 5
	half := 0
	if ratio>>octave >= 23 { // 16 times the square root of two, rounded up
		half = 1
	}
	return min(1+2*octave+half, Buckets-1)
}

// add adds the counts of o.
func (h *Histogram) add(o *Histogram) {
	for i, n := range o {
		h[i] += n
	}
}
