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
	// configApplyLimit is the time within which a configuration must be in force on
	// every node.
	configApplyLimit = 2 * time.Second
	// minRecoveryShare is the share of the requests that must be answered once all
	// faults are over.
	minRecoveryShare = 0.9
	restartPause     = 300 * time.Millisecond
	// rewindAge is the age of the copy from which the store comes back.
	rewindAge = 6 * time.Second
	// maxExposureShare and exposureSlack limit the requests that a bad version may
	// run: this share of all requests plus exposureSlack.
	maxExposureShare = 0.1
	exposureSlack    = 50
)

// Run executes the schedule of a seed and returns the summary. It writes the
// schedule, the settings, the logs and the report to the directory of the options.
func Run(ctx context.Context, o Options) (Summary, error) {
	l := newLedger(o.Seed)
	events := Schedule(o.Seed, o.Length, o.Hosts)
	scheduleJSON, err := json.MarshalIndent(events, "", " ")
	if err != nil {
		return l.summary, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "schedule.json"), scheduleJSON, 0o600); err != nil {
		return l.summary, err
	}
	d, err := newDeployment(o, l)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return l.summary, err
	}
	if !d.awaitReady(ctx, settleTime) {
		l.recordViolation("not all nodes are ready %v after the start", settleTime)
	}
	offset := time.Since(l.started)
	d.runSchedule(ctx, events)
	l.checkRuns(d.allRuns(), isOrder)
	if err := writeReport(o.Dir, l, events, offset); err != nil {
		return l.summary, err
	}
	return l.summary, ctx.Err()
}

func (d *deployment) awaitReady(ctx context.Context, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
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

// runSchedule runs the callers and the events, and then checks that the share of
// answered requests has recovered.
func (d *deployment) runSchedule(ctx context.Context, events []Event) {
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers, actions sync.WaitGroup
	for _, h := range d.hosts[:d.opts.Hosts] {
		for c := range callersPerHost {
			callers.Go(func() { d.runCaller(callerCtx, h, c) })
		}
	}
	started := time.Now()
	for _, e := range events {
		if !sleepUntil(ctx, started.Add(e.At)) {
			break
		}
		d.ledger.mu.Lock()
		d.ledger.summary.Faults[string(e.Kind)]++
		d.ledger.mu.Unlock()
		if !e.Kind.planned() {
			d.recordFault(fmt.Sprint(e.Kind, e.Host), time.Now().Add(e.For+time.Second))
		}
		actions.Go(func() { d.runEvent(ctx, e) })
	}
	actions.Wait()
	sleepUntil(ctx, time.Now().Add(settleTime))
	d.ledger.resetRecent()
	sleepUntil(ctx, time.Now().Add(settleTime/2))
	if share := d.ledger.answeredShare(); share < minRecoveryShare && ctx.Err() == nil {
		d.ledger.recordViolation("%.2f of the requests are answered %v after the last fault", share, settleTime)
	}
	stopCallers()
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

// runEvent injects the fault or performs the change of one event and returns when it
// is over.
func (d *deployment) runEvent(ctx context.Context, e Event) {
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
		d.applyLinkFault(ctx, e, end, h.links[2:]...)
	case KindNodeLink:
		d.applyLinkFault(ctx, e, end, h.links[:2]...)
	case KindStoreDown, KindStoreSlow, KindStoreLost:
		d.store.SetFaults(standin.StoreFaults{
			Down: e.Kind == KindStoreDown, LoseWriteResponses: e.Kind == KindStoreLost, Delay: storeDelay(e.Kind),
		})
		sleepUntil(ctx, end)
		d.store.SetFaults(standin.StoreFaults{})
	case KindCompact:
		d.store.Compact()
	case KindRewind:
		d.rewindStore(ctx, end)
	case KindInstance:
		h.instance.SetFaults(instanceFaults(e.Mode))
		sleepUntil(ctx, end)
		h.instance.SetFaults(standin.InstanceFaults{})
	case KindCrash:
		d.crashInstance(ctx, h, end, new(int))
	case KindConfig:
		d.changeConfig(ctx)
	case KindRolloutBad:
		d.rollOutBadVersion(ctx, e)
	}
}

// rewindStore lets the store go back by rewindAge after it was down. At the given time the
// operator writes again what was lost.
func (d *deployment) rewindStore(ctx context.Context, end time.Time) {
	d.store.SetFaults(standin.StoreFaults{Down: true})
	sleepUntil(ctx, time.Now().Add(time.Until(end)/2))
	lost := d.store.Rewind(rewindAge)
	d.store.SetFaults(standin.StoreFaults{})
	sleepUntil(ctx, end)
	d.store.Rewrite(lost)
}

func storeDelay(k Kind) time.Duration {
	if k == KindStoreSlow {
		return 300 * time.Millisecond
	}
	return 0
}

func instanceFaults(m LinkMode) standin.InstanceFaults {
	switch m {
	case LinkDelay:
		return standin.InstanceFaults{Slowdown: 8}
	case LinkBlackhole:
		return standin.InstanceFaults{LoseShare: 0.2}
	case LinkOneWay:
		return standin.InstanceFaults{TruncateShare: 0.2}
	}
	return standin.InstanceFaults{FailShare: 0.5}
}

func (d *deployment) applyLinkFault(ctx context.Context, e Event, end time.Time, links ...*Link) {
	for _, l := range links {
		l.SetMode(e.Mode)
	}
	sleepUntil(ctx, end)
	for _, l := range links {
		l.SetMode(LinkPass)
	}
}

// restart stops the host's process with the given signal and starts it again.
func (d *deployment) restart(h *host, s syscall.Signal) {
	h.mu.Lock()
	restarting := h.exitExpected
	h.mu.Unlock()
	if restarting {
		return // another event is restarting it
	}
	h.signal(s)
	if !h.awaitExit(shutdownGracePeriod + time.Second) {
		d.ledger.recordViolation("host %d: the process still runs %v after signal %v", h.index, shutdownGracePeriod+time.Second, s)
		h.signal(syscall.SIGKILL)
		h.awaitExit(shutdownGracePeriod)
	}
	time.Sleep(restartPause)
	if err := d.startNode(h); err != nil {
		d.ledger.recordViolation("host %d: start the process: %v", h.index, err)
	}
}

// crashInstance stops the instance of a host and starts a new one at the given time.
// It increments count, unless the instance is down already: then it does nothing.
func (d *deployment) crashInstance(ctx context.Context, h *host, end time.Time, count *int) {
	d.mu.Lock()
	alreadyDown := h.instanceDown
	if !alreadyDown {
		h.stopInstance()
		*count++
	}
	h.instanceDown = true
	d.mu.Unlock()
	if alreadyDown {
		return // an earlier crash of this host restarts the instance
	}
	sleepUntil(ctx, end)
	d.mu.Lock()
	defer d.mu.Unlock()
	h.instanceDown = false
	if err := d.startInstance(h); err != nil {
		d.ledger.recordViolation("host %d: start the instance: %v", h.index, err)
	}
}

// changeConfig writes a configuration and checks that every node applies it within
// configApplyLimit and that no node reverts to an older one. Nodes that were stopped
// or started shortly before are not checked, and the time limit is not checked if
// an unplanned fault is recent or still lasts.
func (d *deployment) changeConfig(ctx context.Context) {
	started := time.Now()
	version := d.publishConfig()
	sleepUntil(ctx, started.Add(configApplyLimit))
	noRecentFault := d.noRecentFault(started)
	for _, h := range d.hosts {
		h.mu.Lock()
		upThroughout := h.processStarted.Add(faultGracePeriod).Before(started) && !h.exitExpected && h.stopStarted.IsZero()
		newestApplied := h.newestApplied
		h.mu.Unlock()
		if noRecentFault && upThroughout && !d.hasConfig(ctx, h, version) {
			d.ledger.recordViolation("host %d lacks configuration %d after %v", h.index, version, configApplyLimit)
		}
		if newestApplied > 0 && upThroughout && !d.hasConfig(ctx, h, newestApplied) {
			d.ledger.recordViolation("host %d went back to a configuration older than %d", h.index, newestApplied)
		}
	}
}

// hasConfig reports whether a node has the route that a configuration version added.
// Only status 404 shows that the route is missing, so a node that doesn't answer
// counts as having it.
func (d *deployment) hasConfig(ctx context.Context, h *host, version int) bool {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	status, _, err := send(ctx, client, h, http.MethodGet, fmt.Sprintf("version-%d", version), "probe")
	if err == nil && status == http.StatusOK {
		h.mu.Lock()
		h.newestApplied = max(h.newestApplied, version)
		h.mu.Unlock()
	}
	return err != nil || status != http.StatusNotFound
}

// rollOutBadVersion orders the roll-out of a failing version and checks that the
// roll-out does not complete and that the version gets few requests.
func (d *deployment) rollOutBadVersion(ctx context.Context, e Event) {
	badHost := d.hosts[d.opts.Hosts]
	badHost.instance.SetFaults(standin.InstanceFaults{FailShare: 0.5})
	runsBefore := len(d.allRuns())
	if err := d.store.OrderRollout(serviceName, newVersion, int(e.For.Seconds())); err != nil {
		d.ledger.recordViolation("encode the roll-out order: %v", err)
	}
	sleepUntil(ctx, time.Now().Add(e.For))
	d.mu.Lock()
	badRuns := len(badHost.instance.Runs())
	d.mu.Unlock()
	totalRuns := len(d.allRuns()) - runsBefore
	if float64(badRuns) > maxExposureShare*float64(totalRuns)+exposureSlack {
		d.ledger.recordViolation("the bad version ran %d of %d requests", badRuns, totalRuns)
	}
	if state, _ := d.store.RolloutState(serviceName); state == "" || state == "completed" {
		d.ledger.recordViolation("the roll-out of a bad version is %q", state)
	}
}

// allRuns returns the requests that all instances, earlier ones included, have run.
func (d *deployment) allRuns() []standin.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []standin.Run
	for _, h := range d.hosts {
		runs = append(runs, h.endedRuns...)
		runs = append(runs, h.instance.Runs()...)
	}
	return runs
}
