package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Expedite asks for a report by the given time.
func (l *Limiter) Expedite(at mesh.Time) {
	if l.notAfter == 0 || at < l.notAfter {
		l.notAfter = at
	}
}

// NextReport returns the time at which the next report is due.
func (l *Limiter) NextReport(now mesh.Time) mesh.Time {
	if l.sentAt == 0 {
		return now
	}
	if !l.answered && now.Sub(l.sentAt) < answerTimeout {
		return l.sentAt.Add(answerTimeout)
	}
	interval := reportInterval
	switch {
	case l.urgent && l.answered:
		interval = urgentInterval
	case l.urgent || l.soon || !l.answered || l.demandChanged(now):
		interval = shortInterval
	}
	due := l.sentAt.Add(scaled(interval, l.hosts))
	if l.notAfter > 0 {
		due = min(due, max(l.notAfter, l.sentAt.Add(urgentInterval)))
	}
	return due
}

// scaled returns the interval of reports with the given number of hosts.
func scaled(interval time.Duration, hosts int) time.Duration {
	if hosts <= fullRateHosts {
		return interval
	}
	return min(interval*time.Duration(hosts)/fullRateHosts, maxReportInterval)
}

// demandChanged reports whether the demand of a tenant differs from the last report.
func (l *Limiter) demandChanged(now mesh.Time) bool {
	if now.Sub(l.sentAt) < shortInterval {
		return false // no report is due anyway
	}
	for _, t := range l.tenants {
		change := math.Abs(float64(t.demandMillis(now)) - float64(t.reported))
		if change > minDemandChange && change > demandChange*float64(t.reported) {
			return true
		}
	}
	return false
}

// Report returns the report to be sent now. Answers to earlier ones are ignored from now
// on.
func (l *Limiter) Report(now mesh.Time) Report {
	l.sequence++
	l.sentAt, l.answered, l.urgent, l.notAfter = now, false, false, 0
	r := Report{Host: l.host, Incarnation: l.incarnation, Sequence: l.sequence, Term: l.term}
	for _, t := range l.tenants {
		l.advance(now, t)
		t.reported = t.demandMillis(now)
		if t.reported == 0 && t.share == 0 {
			t.denied = false
			continue
		}
		e := Entry{Tenant: t.id, Demand: t.reported, Share: t.share, Bonus: t.bonus}
		if t.share > 0 {
			e.LeftMillis = uint32(t.validUntil.Sub(now).Milliseconds()) + 1
		}
		r.Entries = append(r.Entries, e)
	}
	slices.SortFunc(r.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(b.Share, a.Share), cmp.Compare(b.Demand, a.Demand))
	})
	r.Entries = slices.CompactFunc(r.Entries, func(a, b Entry) bool { return a.Tenant == b.Tenant })
	return r
}
