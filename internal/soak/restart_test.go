package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/rollout"
	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// buildProgram builds the sidecar once for all tests.
var buildProgram = sync.OnceValues(func() (string, error) {
	path, err := filepath.Abs(filepath.Join(programDir, "chicory-sidecar"))
	if err != nil {
		return "", err
	}
	return path, exec.Command("go", "build", "-o", path, "../../cmd/chicory-sidecar").Run()
})

// processes is a deployment of real processes with callers.
type processes struct {
	*testing.T
	*deployment
}

// startProcesses starts hosts as processes. The seed chooses their addresses, which
// no other test may use.
func startProcesses(t *testing.T, seed uint64, hosts int) *processes {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	d, err := newDeployment(Options{Seed: seed, Hosts: hosts, Program: program, Dir: t.TempDir()}, newLedger(seed))
	if d != nil {
		t.Cleanup(d.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !d.awaitReady(t.Context(), 2*settle) {
		t.Fatal("not all nodes are ready")
	}
	var callers sync.WaitGroup
	for _, h := range d.hosts {
		callers.Go(func() { d.call(t.Context(), h, 0) }) // the context ends before the clean-up
	}
	t.Cleanup(callers.Wait)
	return &processes{T: t, deployment: d}
}

// drainTime is the time after an acknowledged leave in which requests may still
// reach the instance.
const drainTime = 2 * time.Second

// Guards against an instance that is in use again after its node was killed right
// after it had acknowledged that the instance leaves. The row of the host is older
// then, and with the store away and all nodes killed nothing else is left.
func TestAcknowledgedLeaveOutlivesTheNode(t *testing.T) {
	for i, c := range []struct {
		name               string
		draining           bool // it reports that it drains, and then nothing
		storeDown, killAll bool
	}{
		{name: "leave, node killed"},
		{name: "leave, store down, node killed", storeDown: true},
		{name: "leave, all killed", killAll: true},
		{name: "leave, store down, all killed", storeDown: true, killAll: true},
		{name: "drain, store down, all killed", draining: true, storeDown: true, killAll: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := startProcesses(t, uint64(200+i), 2)
			time.Sleep(announceTime) // the row of the host is to name the instance
			p.store.SetFaults(standin.StoreFaults{Down: c.storeDown})
			leaving := p.hosts[0]
			if c.draining {
				leaving.instance.StopHeartbeats()
				is.NoErr(leaving.instance.Drain(t.Context()))
			} else {
				is.NoErr(leaving.instance.Leave(t.Context()))
			}
			acknowledged := time.Now()
			killed := p.hosts[:1]
			if c.killAll {
				killed = p.hosts
			}
			for _, h := range killed {
				h.signal(syscall.SIGKILL)
			}
			for _, h := range killed {
				is.True(h.awaitEnd(gracePeriod))
				is.NoErr(p.startNode(h))
			}
			p.store.SetFaults(standin.StoreFaults{})
			time.Sleep(time.Until(acknowledged.Add(drainTime)))
			before := len(leaving.instance.Runs())
			served := len(p.allRuns())
			time.Sleep(drainTime)
			is.Equal(len(leaving.instance.Runs()), before)
			is.True(len(p.allRuns()) > served) // the others serve
		})
	}
}

// announceTime is the time in which a host's row names its instance.
const announceTime = 4 * time.Second

// Guards against a restarted node that waits for the next heartbeat though its
// instance serves.
func TestRestartedNodeServesBeforeTheNextHeartbeat(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, 210, 2)
	time.Sleep(announceTime)
	for _, h := range p.hosts {
		h.instance.StopHeartbeats()
		h.signal(syscall.SIGKILL)
		is.True(h.awaitEnd(gracePeriod))
	}
	for _, h := range p.hosts {
		is.NoErr(p.startNode(h))
	}
	before := len(p.allRuns())
	for end := time.Now().Add(settle); len(p.allRuns()) == before && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond) // no event tells
	}
	is.True(len(p.allRuns()) > before)
}

// crashCount returns the number of instances that requests have crashed.
func (p *processes) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// mostCrashes is the number of instances that a request may crash.
const mostCrashes = 3

// Guards against a request that crashes one instance after the other, sent again at
// ever other hosts, while nodes are restarted and forget what they knew.
func TestRequestThatCrashesInstancesIsStopped(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, 220, 4)
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var restarts sync.WaitGroup
	defer restarts.Wait()
	const sends, gap = 40, 250 * time.Millisecond
	for n := range sends {
		h := p.hosts[n%4]
		if n%10 == 9 { // a planned restart and a kill by turns
			signal := syscall.SIGKILL
			if n%20 == 9 {
				signal = syscall.SIGTERM
			}
			restarts.Go(func() { p.restart(p.hosts[(n+1)%4], signal) })
		}
		// The path is the same each time, the identity of the send is not.
		status, _, _ := sendPath(t.Context(), client, h, http.MethodGet, "/read/"+standin.CrashPath, fmt.Sprintf("crash-%d", n))
		is.True(status != http.StatusOK)
		time.Sleep(gap)
	}
	t.Logf("%d crashes", p.crashCount())
	is.True(p.crashCount() >= 1)
	is.True(p.crashCount() <= mostCrashes)
	is.True(p.ledger.answeredShare() > 0) // the callers of other requests
}

// rolloutRows returns the rows of the roll-out so far.
func (p *processes) rolloutRows() []rollout.Row {
	p.Helper()
	var rows []rollout.Row
	for _, value := range p.store.History("chicory", "rollout/"+serviceName) {
		var row rollout.Row
		if err := json.Unmarshal(value, &row); err != nil {
			p.Fatal(err)
		}
		rows = append(rows, row)
	}
	return rows
}

// Guards against two drivers of one roll-out: one that was paused for longer than
// its claim to the row holds must not act on it when it goes on, so that stages go
// back or operators are told of two ends.
func TestPausedDriverDoesNotActOnItsReturn(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, 230, 3)
	is.NoErr(p.store.OrderRollout(serviceName, newVersion, 14))
	awaitRows := func(holds func(rows []rollout.Row) bool) []rollout.Row {
		for end := time.Now().Add(4 * settle); ; time.Sleep(20 * time.Millisecond) { // no event tells
			if rows := p.rolloutRows(); len(rows) > 0 && holds(rows) {
				return rows
			}
			if time.Now().After(end) {
				t.Fatalf("the roll-out is at %+v", p.rolloutRows())
			}
		}
	}
	rows := awaitRows(func([]rollout.Row) bool { return true })
	first := rows[0].Driver
	for _, h := range p.hosts {
		if fmt.Sprintf("host-%d", h.index) == string(first) {
			h.signal(syscall.SIGSTOP)
			awaitRows(func(rows []rollout.Row) bool { return rows[len(rows)-1].Driver != first })
			h.signal(syscall.SIGCONT)
		}
	}
	awaitRows(func(rows []rollout.Row) bool { return rows[len(rows)-1].State.Final() })
	time.Sleep(settle / 2) // for what a second driver would still write
	rows = p.rolloutRows()
	ends := 0
	for i, row := range rows {
		if row.State.Final() {
			ends++
		}
		if i > 0 {
			is.True(row.Stage >= rows[i-1].Stage)
			is.True(row.Driver == rows[i-1].Driver || row.Driver != first) // it has lost the row
		}
	}
	is.Equal(ends, 1)
	is.Equal(rows[len(rows)-1].State, rollout.Completed)
}
