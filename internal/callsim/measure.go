package callsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Measured holds the measurements of a run.
type Measured struct {
	start    mesh.Time
	capacity float64 // calls per second
	seconds  []Second
	latency  *hdrhistogram.Histogram // microseconds, of good calls
}

// Second counts the calls of one second of virtual time.
type Second struct {
	Offered  int
	Attempts int
	// Good counts calls answered without failure within their deadline.
	Good int
}

func newMeasured(start mesh.Time, c Config) Measured {
	return Measured{
		start:    start,
		capacity: c.Deployment.capacity(),
		seconds:  make([]Second, int(length(c.Phases)/time.Second)),
		latency:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (m *Measured) second(now mesh.Time) *Second {
	i := min(int(now.Sub(m.start)/time.Second), len(m.seconds)-1)
	return &m.seconds[i]
}

func (m *Measured) offered(now mesh.Time) { m.second(now).Offered++ }

func (m *Measured) sent(now mesh.Time) { m.second(now).Attempts++ }

func (m *Measured) answered(now mesh.Time, c *call, failed bool) {
	if failed || now > c.deadline {
		return
	}
	m.second(now).Good++
	if now.Sub(m.start) >= warmUp {
		_ = m.latency.RecordValue(now.Sub(c.arrived).Microseconds()) // in range: below the deadline
	}
}

// Sum adds up the seconds from start to end of a run.
func (m *Measured) Sum(start, end time.Duration) Second {
	var sum Second
	for _, s := range m.seconds[start/time.Second : end/time.Second] {
		sum.Offered += s.Offered
		sum.Attempts += s.Attempts
		sum.Good += s.Good
	}
	return sum
}

// Goodput returns the good calls per second between start and end as a share
// of the healthy capacity.
func (m *Measured) Goodput(start, end time.Duration) float64 {
	return float64(m.Sum(start, end).Good) / (end - start).Seconds() / m.capacity
}

// Quantile returns the latency of good calls at a quantile in percent, as seen
// by the entry node. The delay to the caller is not included.
func (m *Measured) Quantile(percent float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(percent)) * time.Microsecond
}
