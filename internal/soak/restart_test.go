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

// buildSidecar builds chicory-sidecar once for all tests and returns its path.
var buildSidecar = sync.OnceValues(func() (string, error) {
	path, err := filepath.Abs(filepath.Join(buildDir, "chicory-sidecar"))
	if err != nil {
		return "", err
	}
	return path, exec.Command("go", "build", "-o", path, "../../cmd/chicory-sidecar").Run()
})

// testDeployment is a deployment of real processes with one caller per host.
type testDeployment struct {
	*testing.T
	*deployment
}

// startTestDeployment starts the sidecar processes, instances and callers. The seed
// determines their addresses, so no other test may use the same seed.
func startTestDeployment(t *testing.T, seed uint64, hosts int) *testDeployment {
	t.Helper()
	program, err := buildSidecar()
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
	if !d.awaitReady(t.Context(), 2*settleTime) {
		t.Fatal("not all nodes became ready in time")
	}
	var callers sync.WaitGroup
	for _, h := range d.hosts {
		callers.Go(func() { d.runCaller(t.Context(), h, 0) }) // t.Context is cancelled before the clean-up
	}
	t.Cleanup(callers.Wait)
	return &testDeployment{T: t, deployment: d}
}

// drainLimit is the time after an acknowledged leave during which requests may
// still reach the instance.
const drainLimit = 2 * time.Second

// Guards against routing calls to an instance again because its node was killed
// right after acknowledging that the instance leaves. The host's row in the store is
// then older than the acknowledgement, and if the store is down and all nodes are
// killed, no other copy is left. A heartbeat from before the leave may arrive at the new
// process.
func TestAcknowledgedLeaveSurvivesNodeKill(t *testing.T) {
	for i, c := range []struct {
		name               string
		drain              bool // the instance reports draining instead of leaving, and nothing afterwards
		storeDown, killAll bool
		lateHeartbeat      bool
	}{
		{name: "leave, node killed"},
		{name: "leave, store down, node killed", storeDown: true},
		{name: "leave, all killed", killAll: true},
		{name: "leave, store down, all killed", storeDown: true, killAll: true},
		{name: "drain, store down, all killed", drain: true, storeDown: true, killAll: true},
		{name: "leave, all killed, late heartbeat", killAll: true, lateHeartbeat: true},
		{name: "drain, node killed, late heartbeat", drain: true, lateHeartbeat: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := startTestDeployment(t, uint64(200+i), 2)
			time.Sleep(rowUpdateLimit) // wait until the host's row names the instance
			p.store.SetFaults(standin.StoreFaults{Down: c.storeDown})
			leaving := p.hosts[0]
			sendLate, err := leaving.instance.NewHeartbeat()
			is.NoErr(err)
			if c.drain {
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
				is.True(h.awaitExit(shutdownGracePeriod))
				is.NoErr(p.startNode(h))
			}
			p.store.SetFaults(standin.StoreFaults{})
			time.Sleep(time.Until(acknowledged.Add(drainLimit)))
			if c.lateHeartbeat {
				is.NoErr(sendLate(t.Context()))
			}
			runsBefore := len(leaving.instance.Runs())
			totalBefore := len(p.allRuns())
			time.Sleep(drainLimit)
			is.Equal(len(leaving.instance.Runs()), runsBefore)
			is.True(len(p.allRuns()) > totalBefore) // the other instances serve
		})
	}
}

// rowUpdateLimit is the time within which the store's row of a host names the host's
// instance.
const rowUpdateLimit = 4 * time.Second

// Guards against a restarted node that routes no calls to its running instance
// until the instance's next heartbeat.
func TestRestartedNodeServesBeforeTheNextHeartbeat(t *testing.T) {
	is := is.New(t)
	p := startTestDeployment(t, 210, 2)
	time.Sleep(rowUpdateLimit)
	for _, h := range p.hosts {
		h.instance.StopHeartbeats()
		h.signal(syscall.SIGKILL)
		is.True(h.awaitExit(shutdownGracePeriod))
	}
	for _, h := range p.hosts {
		is.NoErr(p.startNode(h))
	}
	runsBefore := len(p.allRuns())
	for deadline := time.Now().Add(settleTime); len(p.allRuns()) == runsBefore && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond) // polled: there is no event to wait for
	}
	is.True(len(p.allRuns()) > runsBefore)
}

// requestCrashCount returns how often a request has crashed an instance.
func (p *testDeployment) requestCrashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requestCrashes
}

// maxCrashes is the largest number of instances that repeats of one request may crash.
const maxCrashes = 3

// Guards against a request that crashes one instance after another because clients
// repeat it at different hosts, while nodes are restarted and lose their in-memory
// record of its crashes.
func TestRequestThatCrashesInstancesIsStopped(t *testing.T) {
	is := is.New(t)
	p := startTestDeployment(t, 220, 4)
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var restarts sync.WaitGroup
	defer restarts.Wait()
	const sends, sendGap = 40, 250 * time.Millisecond
	for attempt := range sends {
		h := p.hosts[attempt%4]
		if attempt%10 == 9 { // alternate between a planned restart and a kill
			signal := syscall.SIGKILL
			if attempt%20 == 9 {
				signal = syscall.SIGTERM
			}
			restarts.Go(func() { p.restart(p.hosts[(attempt+1)%4], signal) })
		}
		// Each attempt has the same path but an identity of its own.
		status, _, _ := sendPath(t.Context(), client, h, http.MethodGet, "/read/"+standin.CrashPath, fmt.Sprintf("crash-%d", attempt))
		is.True(status != http.StatusOK)
		time.Sleep(sendGap)
	}
	t.Logf("%d crashes", p.requestCrashCount())
	is.True(p.requestCrashCount() >= 1)
	is.True(p.requestCrashCount() <= maxCrashes)
	is.True(p.ledger.answeredShare() > 0) // requests of the other callers are answered
}

// rolloutRows returns the values that the roll-out's row has had so far, oldest first.
func (p *testDeployment) rolloutRows() []rollout.Row {
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

// Guards against two drivers of one roll-out. A driver that was paused for longer
// than its claim to the row is valid must not write the row after it resumes.
// Otherwise the roll-out goes back to an earlier stage, or operators see it end
// twice.
func TestPausedDriverDoesNotActAfterResuming(t *testing.T) {
	is := is.New(t)
	p := startTestDeployment(t, 230, 3)
	is.NoErr(p.store.OrderRollout(serviceName, newVersion, 14))
	awaitRows := func(condition func(rows []rollout.Row) bool) []rollout.Row {
		for deadline := time.Now().Add(4 * settleTime); ; time.Sleep(20 * time.Millisecond) { // polled: there is no event to wait for
			if rows := p.rolloutRows(); len(rows) > 0 && condition(rows) {
				return rows
			}
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for the roll-out; its rows so far: %+v", p.rolloutRows())
			}
		}
	}
	rows := awaitRows(func([]rollout.Row) bool { return true })
	firstDriver := rows[0].Driver
	for _, h := range p.hosts {
		if fmt.Sprintf("host-%d", h.index) == string(firstDriver) {
			h.signal(syscall.SIGSTOP)
			awaitRows(func(rows []rollout.Row) bool { return rows[len(rows)-1].Driver != firstDriver })
			h.signal(syscall.SIGCONT)
		}
	}
	awaitRows(func(rows []rollout.Row) bool { return rows[len(rows)-1].State.Final() })
	time.Sleep(settleTime / 2) // leave time for writes of a second driver
	rows = p.rolloutRows()
	finalRows := 0
	for i, row := range rows {
		if row.State.Final() {
			finalRows++
		}
		if i > 0 {
			is.True(row.Stage >= rows[i-1].Stage)
			is.True(row.Driver == rows[i-1].Driver || row.Driver != firstDriver) // the first driver has lost its claim to the row
		}
	}
	is.Equal(finalRows, 1)
	is.Equal(rows[len(rows)-1].State, rollout.Completed)
}
