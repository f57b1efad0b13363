package backend

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func newTestBehaviour(change func(*settings.Backend)) *behaviour {
	s := &settings.Backend{
		ServiceTime: settings.ServiceTime{Distribution: settings.Fixed, Mean: 10 * time.Millisecond},
		ColdStart:   settings.ColdStart{Factor: 1},
		Fault:       settings.BackendFault{Mode: settings.NoFault, Share: 1},
	}
	change(s)
	return newBehaviour(s)
}

// Guards against service times whose mean differs from the configured one.
func TestServiceTimesHaveConfiguredMean(t *testing.T) {
	const draws = 20_000
	for _, d := range []settings.Distribution{settings.Fixed, settings.Exponential, settings.Lognormal} {
		is := is.New(t)
		b := newTestBehaviour(func(s *settings.Backend) { s.ServiceTime.Distribution, s.ServiceTime.Sigma = d, 0.5 })
		var sum time.Duration
		for range draws {
			sum += b.planFor(0, 1, nil).serviceTime
		}
		mean := float64(sum) / draws / float64(10*time.Millisecond)
		is.True(math.Abs(mean-1) < 0.03)
	}
}

// Guards against a cold start that ends too early or never.
func TestColdStartFactorDecays(t *testing.T) {
	is := is.New(t)
	b := newTestBehaviour(func(s *settings.Backend) { s.ColdStart = settings.ColdStart{Time: 10 * time.Second, Factor: 5} })
	for seconds, millis := range map[int]int{0: 50, 5: 30, 10: 10, 60: 10} {
		got := b.planFor(time.Duration(seconds)*time.Second, 1, nil).serviceTime
		is.Equal(got.Round(time.Microsecond), time.Duration(millis)*time.Millisecond)
	}
}

// Guards against a fault that appears outside its conditions.
func TestFaultNeedsAllConditions(t *testing.T) {
	is := is.New(t)
	b := newTestBehaviour(func(s *settings.Backend) {
		s.Fault = settings.BackendFault{Mode: settings.SlowMode, SlowFactor: 3, After: time.Minute,
			AboveSlots: 4, PathPrefix: "/roofs", Share: 1}
	})
	slow, usual := 30*time.Millisecond, 10*time.Millisecond
	is.Equal(b.planFor(time.Minute, 5, []byte("/roofs/1")), callPlan{serviceTime: slow})
	is.Equal(b.planFor(time.Minute-1, 5, []byte("/roofs/1")), callPlan{serviceTime: usual})
	is.Equal(b.planFor(time.Minute, 4, []byte("/roofs/1")), callPlan{serviceTime: usual})
	is.Equal(b.planFor(time.Minute, 5, []byte("/depot")), callPlan{serviceTime: usual})
}

// Guards against a health endpoint that cannot lag or misreport.
func TestHealthLagAndMisreporting(t *testing.T) {
	is := is.New(t)
	at := func(second int64) time.Time { return time.Unix(1000+second, 0) }
	busy := load{InUse: 3, Queued: 1, Draining: true}
	accurate := &health{slots: 4}
	is.Equal(accurate.report(at(0), busy), Health{Ready: false, Slots: 4, InUse: 3, Queued: 1})
	misreporting := &health{slots: 4, settings: settings.Health{AlwaysReady: true}}
	is.Equal(misreporting.report(at(0), busy), Health{Ready: true, Slots: 4})
	lagging := &health{slots: 4, settings: settings.Health{Lag: 5 * time.Second}}
	for second := range int64(20) {
		lagging.addSample(at(second), load{InUse: int(second)})
	}
	is.Equal(lagging.report(at(19), busy).InUse, 14)
	is.True(len(lagging.samples) < 8)
	is.Equal(lagging.report(at(2), busy), Health{Ready: true, Slots: 4})
}

// Guards against a slot that is never released because the deadline of a queued
// call passes at the time at which the slot is granted.
func TestSlotGrantedAtDeadlineIsReleased(t *testing.T) {
	is := is.New(t)
	s := newSlots(1, 1)
	_, err := s.acquire(nil)
	is.NoErr(err)
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.release()
	<-granted
	_, err = s.leaveQueue(granted)
	is.Equal(err, errDeadlinePassed)
	_, err = s.acquire(nil)
	is.NoErr(err)
	s.drain()
	s.release()
	<-s.idle
}
