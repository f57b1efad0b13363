package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bodySizes are the lengths that the members of the crowd state, in KiB. All are below the
// BodyBytes of the configuration, which is 64 MiB.
var bodySizes = []int{16384, 8192, 4096, 2048, 2048, 1024, 1024, 512, 512, 256, 256, 128, 128, 64, 64, 61440}

const (
	// shortBy is the part of each body that is sent slowly, bodyByteInterval apart.
	shortBy          = 1000
	bodyByteInterval = 400 * time.Millisecond
)

// sendBodySlowly sends a request with a body of legal size, all of it at once but for the last
// shortBy bytes, and then one byte after the other. It returns how the request ended.
func sendBodySlowly(ctx context.Context, from, to string, size int) string {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	ended := make(chan string, 1)
	go func() {
		b := make([]byte, 64)
		n, err := conn.Read(b)
		ended <- fmt.Sprintf("%q, %v", b[:n], err)
	}()
	head := fmt.Sprintf("POST /install-order/crowd HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: crowd-%d\r\nX-Deadline-Milliseconds: 1500\r\nContent-Length: %d\r\n\r\n", routeHost, size, size)
	if _, err := io.WriteString(conn, head); err != nil {
		return err.Error()
	}
	piece := []byte(strings.Repeat("b", 64<<10))
	for left := size - shortBy; left > 0; {
		n, err := conn.Write(piece[:min(left, len(piece))])
		if err != nil {
			return err.Error()
		}
		left -= n
	}
	for {
		select {
		case <-ctx.Done():
			return "left by the crowd"
		case end := <-ended:
			return "ended by the process: " + end
		case <-time.After(bodyByteInterval):
		}
		if _, err := conn.Write([]byte{'b'}); err != nil {
			return err.Error()
		}
	}
}

// runSlowBodies lets a small crowd send bodies of legal size slowly to one node and checks what
// becomes of the downloads of ordinary clients there.
func runSlowBodies(d *deployment, trouble bool) (int, error) {
	d.zones = []string{"ifrane", "azrou"}
	entry := d.addHost("ifrane", "chantiers")
	d.addHost("azrou", "magasin")
	d.addHost("ifrane", "magasin")
	routes := []route{{"install-order", "chantiers", true, 1500}, {"stock-check", "magasin", false, 600}, {"large-diagram", "magasin", false, 1200}}
	if err := d.configure(7, routes); err != nil {
		return exitCannotRun, err
	}
	if err := d.start(40 * time.Millisecond); err != nil {
		return exitCannotRun, err
	}
	if !d.awaitReady(15 * time.Second) {
		return exitCannotRun, fmt.Errorf("the nodes are not ready")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var crowd, callers sync.WaitGroup
	if trouble {
		for _, size := range bodySizes {
			crowd.Go(func() {
				end := sendBodySlowly(ctx, d.network+".100", entry.addr(portOutbound), size<<10)
				d.record.line("crowd: the body of %d KiB: %s", size, end)
			})
			pauseFor(ctx, 100*time.Millisecond)
		}
		d.record.line("crowd: %d clients have sent their bodies but for the last %d bytes", len(bodySizes), shortBy)
	}
	// The burst of the bodies is over for 5 s, and then for the time after which calm machines are in touch.
	time.Sleep(5*time.Second + stableWindow + time.Second)
	// Each caller keeps its connection: it sends a small request and then a download on it.
	var served, cut, refused, small, smallFailed, cutAfterSignal atomic.Int64
	var signalAt atomic.Int64 // ns since the begin; time of the latest SIGHUP
	begin := time.Now()
	end := begin.Add(12 * time.Second)
	callers.Go(func() {
		for range 3 {
			time.Sleep(3 * time.Second)
			signalAt.Store(int64(time.Since(begin)))
			d.record.line("SIGHUP to the process of %s, whose settings are unchanged", entry.name)
			_ = entry.process.Process.Signal(syscall.SIGHUP)
		}
	})
	for range 6 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				if a := d.send(client, entry, http.MethodGet, "stock-check", 600*time.Millisecond); a.status != http.StatusOK {
					smallFailed.Add(1)
					continue
				}
				small.Add(1)
				sent := time.Since(begin)
				a := d.send(client, entry, http.MethodGet, "large-diagram", 1200*time.Millisecond)
				if at := time.Duration(signalAt.Load()); a.status == 0 && at > 0 && sent > at && sent < at+applyDeadline {
					cutAfterSignal.Add(1)
					d.record.line("LOST      %s, sent %v after the SIGHUP", a.id, (sent - at).Round(time.Millisecond))
				}
				switch {
				case a.status == http.StatusOK:
					served.Add(1)
				case a.status == 0:
					cut.Add(1)
				default:
					refused.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	cancel()
	crowd.Wait()
	runs := 0
	for _, h := range d.hosts {
		for _, r := range h.instance.Runs() {
			if strings.HasPrefix(r.Path, "/large-diagram/") {
				runs++
				d.record.line("run       %s by %s", r.Identity, r.Instance)
			}
		}
	}
	d.record.say("downloads on kept connections: %d served, %d ended by a closed connection without a whole answer, %d with a failure status; instances ran %d of them", served.Load(), cut.Load(), refused.Load(), runs)
	d.record.say("small requests on the same connections: %d served, %d not; process alive: %v", small.Load(), smallFailed.Load(), entry.alive())
	d.record.say("of those without a whole answer, sent within %v after a SIGHUP of the node: %d", applyDeadline, cutAfterSignal.Load())
	if cut.Load() > 3 || cutAfterSignal.Load() > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
