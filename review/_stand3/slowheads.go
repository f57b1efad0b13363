package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdSize      = 330
	crowdAddresses = 3
	// A head is sent in headPieces pieces, with pieceInterval between two of them, so that it
	// is complete within the HeaderTimeoutMs of the configuration.
	headPieces    = 5
	pieceInterval = 600 * time.Millisecond
	// reconnectPause is the time after which a member whose connection was closed opens another.
	reconnectPause = 100 * time.Millisecond
)

// crowdHead is a request of a path without a route.
const crowdHead = "GET /none/crowd HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Attempt-Identifier: crowd\r\nX-Deadline-Milliseconds: 1200\r\n\r\n"

// crowd counts what its members did.
type crowd struct {
	opened, requests atomic.Int64
}

// member sends one request after the other on a connection, each head slowly, and reads the
// answers.
func (c *crowd) member(ctx context.Context, from, to string) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: time.Second}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", to); err == nil {
			c.opened.Add(1)
			reader := bufio.NewReader(conn)
			for ctx.Err() == nil && sendSlowly(ctx, conn) && readAnswer(conn, reader) {
				c.requests.Add(1)
			}
			_ = conn.Close()
		}
		pauseFor(ctx, reconnectPause)
	}
}

// sendSlowly sends a head in pieces and reports whether it was sent.
func sendSlowly(ctx context.Context, conn net.Conn) bool {
	size := (len(crowdHead) + headPieces - 1) / headPieces
	for i := range headPieces {
		if i > 0 {
			pauseFor(ctx, pieceInterval)
		}
		if _, err := conn.Write([]byte(crowdHead[i*size : min((i+1)*size, len(crowdHead))])); err != nil {
			return false
		}
	}
	return true
}

func readAnswer(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runSlowHeads lets a crowd send heads slowly and checks whether ordinary callers on new
// connections are served meanwhile.
func runSlowHeads(d *deployment, trouble bool) (int, error) {
	d.zones = []string{"ifrane"}
	target := d.addHost("ifrane", "magasin")
	d.addHost("ifrane", "magasin")
	target.descriptors = 600
	routes := []route{{"stock-check", "magasin", false, 600}}
	if err := d.configure(7, routes); err != nil {
		return exitCannotRun, err
	}
	if err := d.start(20 * time.Millisecond); err != nil {
		return exitCannotRun, err
	}
	if !d.awaitReady(15 * time.Second) {
		return exitCannotRun, fmt.Errorf("the nodes are not ready")
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var c crowd
	if trouble {
		for i := range crowdSize {
			group.Go(func() {
				pauseFor(ctx, time.Duration(i)*5*time.Millisecond)
				c.member(ctx, fmt.Sprintf("%s.%d", d.network, 100+i%crowdAddresses), target.addr(portOutbound))
			})
		}
		time.Sleep(4 * time.Second)
	}
	const callers = 10
	var lastAnswer atomic.Int64 // ns since begin
	var answered, failed atomic.Int64
	begin := time.Now()
	longest := time.Duration(0)
	end := begin.Add(20 * time.Second)
	for range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.network + ".200")}, Timeout: time.Second}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
				a := d.send(client, target, http.MethodGet, "stock-check", 600*time.Millisecond)
				if a.status == http.StatusOK {
					answered.Add(1)
					lastAnswer.Store(int64(time.Since(begin)))
				} else {
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	notReady := 0
	for time.Now().Before(end) {
		longest = max(longest, time.Since(begin)-time.Duration(lastAnswer.Load()))
		if !target.ready() {
			notReady++
		}
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	group.Wait()
	for _, h := range d.hosts {
		for _, r := range h.instance.Runs() {
			d.record.line("run       %s by %s", r.Identity, r.Instance)
		}
	}
	d.record.line("crowd: %d connections opened, %d requests of a path without a route answered", c.opened.Load(), c.requests.Load())
	d.record.say("ordinary callers: %d requests answered, %d not; longest time without an answered one %v; readiness checks that failed: %d; crowd: %d connections, %d answered requests; process alive: %v",
		answered.Load(), failed.Load(), longest.Round(time.Millisecond), notReady, c.opened.Load(), c.requests.Load(), target.alive())
	if longest > stableWindow {
		return exitBroken, nil
	}
	return exitHeld, nil
}
