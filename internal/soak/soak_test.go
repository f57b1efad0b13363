package soak

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Guards against a schedule that cannot be reproduced from its seed.
func TestScheduleIsDeterministic(t *testing.T) {
	is := is.New(t)
	is.Equal(Schedule(7, time.Minute, 4), Schedule(7, time.Minute, 4))
	is.True(len(Schedule(7, time.Minute, 4)) > 5)
	for _, e := range Schedule(8, time.Minute, 4) {
		is.True(e.Host < 4 && e.At >= settleTime && e.At < time.Minute)
	}
}

// Guards against checks that never fail: the ledger must detect wrong answers,
// orders that ran twice and orders that ran after a refusal.
func TestLedgerDetectsBrokenPromises(t *testing.T) {
	is := is.New(t)
	l := newLedger(1)
	l.recordAnswer("read-1", false, 200, false)
	l.recordAnswer("order-1", true, 503, false)
	l.recordAnswer("order-2", true, 200, true)
	l.recordAnswer("order-3", true, 502, false)
	l.checkRuns([]standin.Run{{Identity: "order-1"}, {Identity: "order-2"}, {Identity: "order-2"}, {Identity: "order-3"},
		{Identity: "read-1"}, {Identity: "read-1"}}, isOrder)
	is.Equal(l.summary.Wrong, 1)
	is.Equal(l.summary.FalseRefusals, 1)
	is.Equal(l.summary.RanTwice, 1)
	is.Equal(len(l.summary.Broken), 3)
	is.Equal(l.answeredShare(), 0.5)
}

// Guards against links that forward bytes in a mode that must not, and against links
// that don't work again once the fault is over.
func TestLinkModes(t *testing.T) {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	link, err := NewLink("127.0.0.1:0", echo.Addr().String())
	is.NoErr(err)
	defer link.Close()
	exchange := func() error {
		c, err := net.Dial("tcp", link.listener.Addr().String())
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(4 * linkDelay))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err = c.Read(make([]byte, 1))
		return err
	}
	for mode, works := range map[LinkMode]bool{LinkPass: true, LinkDelay: true, LinkBlackhole: false, LinkOneWay: false, LinkReset: false} {
		link.SetMode(mode)
		is.Equal(exchange() == nil, works)
	}
	link.SetMode(LinkPass)
	is.NoErr(exchange())
}

// Guards against a series of events that crashes the instance of one host while it
// is already down: the runs of the instance were counted twice and it could not be
// started again (seed 135).
func TestCrashWhileInstanceIsDown(t *testing.T) {
	is := is.New(t)
	d := &deployment{opts: Options{Seed: 249}, ledger: newLedger(1)}
	h := &host{ip: "127.80.249.9", version: oldVersion}
	d.hosts = []*host{h}
	is.NoErr(d.startInstance(h))
	done := make(chan struct{}, 2)
	for range 2 {
		go func() {
			d.crashInstance(t.Context(), h, time.Now().Add(50*time.Millisecond), new(int))
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	is.Equal(d.ledger.summary.Broken, []string{})
	h.stopInstance()
}

// Guards against a report that cannot be written, or that lacks the violations, the
// plot, the events or the merged log.
func TestReportContents(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l := newLedger(3)
	for _, status := range []int{200, 200, 503, 0} {
		l.recordAnswer("read-1", false, status, true)
	}
	l.recordViolation("host 1 <lacks> a configuration")
	is.NoErr(os.WriteFile(filepath.Join(dir, "host-0.log"), []byte(`{"time":"2026-01-01T00:00:00Z","msg":"node.started"}`+"\n"), 0o600))
	is.NoErr(writeReport(dir, l, []Event{{At: time.Second, For: time.Second, Kind: KindKill}}, 0))
	text, err := os.ReadFile(filepath.Join(dir, "report.html"))
	is.NoErr(err)
	is.True(strings.Contains(string(text), "&lt;lacks&gt;"))
	is.True(strings.Contains(string(text), "<svg"))
	is.True(strings.Contains(string(text), "<td>kill"))
	merged, err := os.ReadFile(filepath.Join(dir, "timeline.log"))
	is.NoErr(err)
	is.True(strings.Contains(string(merged), "node.started"))
}

// buildDir is the directory for the programs that the tests build.
var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chicory-soak-test-")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		panic(err)
	}
	os.Exit(code)
}
