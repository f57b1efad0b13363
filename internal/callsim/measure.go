package callsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Measurements holds the measurements of a run.
type Measurements struct {
	start    mesh.Time
	capacity float64 // calls per second
	seconds  []Counts
	latency  *hdrhistogram.Histogram // of good calls, in microseconds
}

// Counts counts the calls of one second, or of several, of virtual time.
type Counts struct {
	Offered  int
	Attempts int
	// Good counts calls answered without failure within their deadline.
	Good int
}

func newMeasurements(start mesh.Time, c Config) Measurements {
	return Measurements{
		start:    start,
		capacity: c.Deployment.capacity(),
		seconds:  make([]Counts, int(totalLength(c.Phases)/time.Second)),
		latency:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (m *Measurements) countsAt(now mesh.Time) *Counts {
	i := min(int(now.Sub(m.start)/time.Second), len(m.seconds)-1)
	return &m.seconds[i]
}

func (m *Measurements) countOffered(now mesh.Time) { m.countsAt(now).Offered++ }

func (m *Measurements) countAttempt(now mesh.Time) { m.countsAt(now).Attempts++ }

func (m *Measurements) countAnswer(now mesh.Time, c *call, failed bool) {
	if failed || now > c.deadline {
		return
	}
	m.countsAt(now).Good++
	if now.Sub(m.start) >= warmUp {
		_ = m.latency.RecordValue(now.Sub(c.arrived).Microseconds()) // cannot fail: the class's deadline bounds the latency
	}
}

// Sum returns the total counts of the seconds from start to end, measured from
// the start of the run.
func (m *Measurements) Sum(start, end time.Duration) Counts {
	var sum Counts
	for _, s := range m.seconds[start/time.Second : end/time.Second] {
		sum.Offered += s.Offered
		sum.Attempts += s.Attempts
		sum.Good += s.Good
	}
	return sum
}

// Goodput returns the good calls per second between start and end as a share
// of the healthy capacity.
func (m *Measurements) Goodput(start, end time.Duration) float64 {
	return float64(m.Sum(start, end).Good) / (end - start).Seconds() / m.capacity
}

// Quantile returns the latency of good calls at a quantile in percent, as
// measured at the entry node: the network delay between the caller and the entry
// node is not included.
func (m *Measurements) Quantile(percent float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(percent)) * time.Microsecond
}
