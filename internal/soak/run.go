package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

const (
	// applyTime is the time in which a configuration is in force everywhere.
	applyTime = 2 * time.Second
	// recoveryShare is the part of the requests that must be answered once all
	// faults are over.
	recoveryShare = 0.9
	restartPause  = 300 * time.Millisecond
	// exposureShare and exposureSlack bound the requests of a bad version.
	exposureShare = 0.1
	exposureSlack = 50
)

// Run plays the schedule of a seed and returns what was seen. The directory keeps
// the schedule and the logs.
func Run(ctx context.Context, o Options) (Summary, error) {
	l := newLedger(o.Seed)
	events := Schedule(o.Seed, o.Length, o.Hosts)
	text, err := json.MarshalIndent(events, "", " ")
	if err != nil {
		return l.summary, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "schedule.json"), text, 0o600); err != nil {
		return l.summary, err
	}
	d, err := newDeployment(o, l)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return l.summary, err
	}
	if !d.awaitReady(ctx, settle) {
		l.broke("not all nodes are ready %v after the start", settle)
	}
	offset := time.Since(l.began)
	d.play(ctx, events)
	l.settleRuns(d.allRuns(), isOrder)
	if err := writeReport(o.Dir, l, events, offset); err != nil {
		return l.summary, err
	}
	return l.summary, ctx.Err()
}

func (d *deployment) awaitReady(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if resp, err := http.Get("http://" + h.addr(portReady) + "/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.hosts) {
			return true
		}
	}
	return false
}

// play runs callers and events, then checks the recovery.
func (d *deployment) play(ctx context.Context, events []Event) {
	calls, stop := context.WithCancel(ctx)
	defer stop()
	var callers, actions sync.WaitGroup
	for _, h := range d.hosts[:d.opts.Hosts] {
		for c := range callersPerHost {
			callers.Go(func() { d.call(calls, h, c) })
		}
	}
	began := time.Now()
	for _, e := range events {
		if !sleepUntil(ctx, began.Add(e.At)) {
			break
		}
		d.ledger.mu.Lock()
		d.ledger.summary.Faults[string(e.Kind)]++
		d.ledger.mu.Unlock()
		if !e.Kind.planned() {
			d.disturb(fmt.Sprint(e.Kind, e.Host), time.Now().Add(e.For+time.Second))
		}
		actions.Go(func() { d.act(ctx, e) })
	}
	actions.Wait()
	sleepUntil(ctx, time.Now().Add(settle))
	d.ledger.resetRecent()
	sleepUntil(ctx, time.Now().Add(settle/2))
	if share := d.ledger.answeredShare(); share < recoveryShare && ctx.Err() == nil {
		d.ledger.broke("%.2f of the requests are answered %v after the last fault", share, settle)
	}
	stop()
	callers.Wait()
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// act plays one event to its end.
func (d *deployment) act(ctx context.Context, e Event) {
	h := d.hosts[e.Host]
	end := time.Now().Add(e.For)
	switch e.Kind {
	case KindTerm:
		d.restart(h, syscall.SIGTERM)
	case KindKill:
		d.restart(h, syscall.SIGKILL)
	case KindPause:
		h.signal(syscall.SIGSTOP)
		sleepUntil(ctx, end)
		h.signal(syscall.SIGCONT)
	case KindStoreLink:
		d.fault(ctx, e, end, h.links[2:]...)
	case KindNodeLink:
		d.fault(ctx, e, end, h.links[:2]...)
	case KindStoreDown, KindStoreSlow, KindStoreLost:
		d.store.SetFaults(standin.StoreFaults{
			Down: e.Kind == KindStoreDown, LoseWriteResponses: e.Kind == KindStoreLost, Delay: slowStore(e.Kind),
		})
		sleepUntil(ctx, end)
		d.store.SetFaults(standin.StoreFaults{})
	case KindCompact:
		d.store.Compact()
	case KindInstance:
		h.instance.SetFaults(instanceFaults(e.Mode))
		sleepUntil(ctx, end)
		h.instance.SetFaults(standin.InstanceFaults{})
	case KindCrash:
		d.crash(ctx, h, end, new(int))
	case KindConfig:
		d.change(ctx)
	case KindRolloutBad:
		d.rollout(ctx, e)
	}
}

func slowStore(k Kind) time.Duration {
	if k == KindStoreSlow {
		return 300 * time.Millisecond
	}
	return 0
}

func instanceFaults(m LinkMode) standin.InstanceFaults {
	switch m {
	case LinkDelay:
		return standin.InstanceFaults{Slowdown: 8}
	case LinkSilent:
		return standin.InstanceFaults{LoseShare: 0.2}
	case LinkOneWay:
		return standin.InstanceFaults{TruncateShare: 0.2}
	}
	return standin.InstanceFaults{FailShare: 0.5}
}

func (d *deployment) fault(ctx context.Context, e Event, end time.Time, links ...*Link) {
	for _, l := range links {
		l.Set(e.Mode)
	}
	sleepUntil(ctx, end)
	for _, l := range links {
		l.Set(LinkPass)
	}
}

// restart ends the host's process and starts it again.
func (d *deployment) restart(h *host, s syscall.Signal) {
	h.mu.Lock()
	busy := h.expected
	h.mu.Unlock()
	if busy {
		return // it is being restarted already
	}
	h.signal(s)
	if !h.awaitEnd(gracePeriod + time.Second) {
		d.ledger.broke("host %d: the process runs %v after %v", h.index, gracePeriod+time.Second, s)
		h.signal(syscall.SIGKILL)
		h.awaitEnd(gracePeriod)
	}
	time.Sleep(restartPause)
	if err := d.startNode(h); err != nil {
		d.ledger.broke("host %d: start: %v", h.index, err)
	}
}

// crash ends the instance of a host until the given time. A crash of an instance
// that is down already counts no more.
func (d *deployment) crash(ctx context.Context, h *host, end time.Time, count *int) {
	d.mu.Lock()
	down := h.down
	if !down {
		h.endInstance()
		*count++
	}
	h.down = true
	d.mu.Unlock()
	if down {
		return // a crash in a series on the same host
	}
	sleepUntil(ctx, end)
	d.mu.Lock()
	defer d.mu.Unlock()
	h.down = false
	if err := d.startInstance(h); err != nil {
		d.ledger.broke("host %d: start of the instance: %v", h.index, err)
	}
}

// change writes a configuration and checks that nodes have it in time and keep it.
func (d *deployment) change(ctx context.Context) {
	began := time.Now()
	version := d.configure()
	sleepUntil(ctx, began.Add(applyTime))
	calm := d.calm(began)
	for _, h := range d.hosts {
		h.mu.Lock()
		steady := h.started.Add(calmTime).Before(began) && !h.expected && h.stopping.IsZero()
		applied := h.applied
		h.mu.Unlock()
		if calm && steady && !d.has(ctx, h, version) {
			d.ledger.broke("host %d lacks configuration %d after %v", h.index, version, applyTime)
		}
		if applied > 0 && steady && !d.has(ctx, h, applied) {
			d.ledger.broke("host %d has gone back behind configuration %d", h.index, applied)
		}
	}
}

// has reports whether a node knows the route of a configuration. A node that
// can't be asked counts as having it.
func (d *deployment) has(ctx context.Context, h *host, version int) bool {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	status, _, err := send(ctx, client, h, http.MethodGet, fmt.Sprintf("version-%d", version), "probe")
	if err == nil && status == http.StatusOK {
		h.mu.Lock()
		h.applied = max(h.applied, version)
		h.mu.Unlock()
	}
	return err != nil || status != http.StatusNotFound
}

// rollout orders a bad version and checks that it is taken back and gets few
// requests.
func (d *deployment) rollout(ctx context.Context, e Event) {
	bad := d.hosts[d.opts.Hosts]
	bad.instance.SetFaults(standin.InstanceFaults{FailShare: 0.5})
	before := len(d.allRuns())
	if err := d.store.OrderRollout(serviceName, newVersion, int(e.For.Seconds())); err != nil {
		d.ledger.broke("encode the order: %v", err)
	}
	sleepUntil(ctx, time.Now().Add(e.For))
	d.mu.Lock()
	exposed := len(bad.instance.Runs())
	d.mu.Unlock()
	all := len(d.allRuns()) - before
	if float64(exposed) > exposureShare*float64(all)+exposureSlack {
		d.ledger.broke("the bad version ran %d of %d requests", exposed, all)
	}
	if state, _ := d.store.RolloutState(serviceName); state == "" || state == "completed" {
		d.ledger.broke("the roll-out of a bad version is %q", state)
	}
}

// allRuns returns what all instances have run.
func (d *deployment) allRuns() []standin.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []standin.Run
	for _, h := range d.hosts {
		runs = append(runs, h.runs...)
		runs = append(runs, h.instance.Runs()...)
	}
	return runs
}
