package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

const (
	callersPerHost = 3
	callerPause    = 60 * time.Millisecond
	// fullRateHosts is the number of hosts up to which callers pause only for
	// callerPause. For more hosts the pause is multiplied by their number divided by
	// fullRateHosts, so that the total request rate stays about that of fullRateHosts
	// hosts, because all processes share one machine.
	fullRateHosts = 16
	callTimeout   = 1500 * time.Millisecond
	// closeRaceWindow is the time since the start of a request within which a lost
	// connection is attributed to a race: the server closed the connection while the
	// request was on its way.
	closeRaceWindow     = 200 * time.Millisecond
	orderInterval       = 3 // every third request is an order
	largeAnswerInterval = 5 // every fifth request has a large answer
)

// runCaller sends requests to one host until ctx is done. It keeps reusing its
// open connection until the host's process has exited.
func (d *deployment) runCaller(ctx context.Context, h *host, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		route, method := "read", http.MethodGet
		if sequence%orderInterval == 0 {
			route, method = "order", http.MethodPost
		}
		if sequence%largeAnswerInterval == 0 {
			route += "/large"
		}
		d.sendAndRecord(ctx, client, h, method, route, fmt.Sprintf("%s-%d-%d-%d", route, h.index, caller, sequence))
		time.Sleep(callerPause * time.Duration(max(1, d.opts.Hosts/fullRateHosts)))
	}
}

// isOrder reports whether a request is an order. Orders are non-idempotent requests,
// which must not run twice.
func isOrder(identity string) bool { return strings.HasPrefix(identity, "order-") }

func (d *deployment) sendAndRecord(ctx context.Context, client *http.Client, h *host, method, route, identity string) {
	started := time.Now()
	status, intact, err := send(ctx, client, h, method, route, identity)
	if ctx.Err() != nil {
		return
	}
	d.ledger.recordAnswer(identity, isOrder(identity), status, intact)
	if err != nil {
		d.recordIfCutByStop(h, identity, started, err)
	}
}

// send sends a request whose path names the route and the request's identity. It
// returns status 0 if no complete answer was received; intact reports whether the
// body is the one expected for this request.
func send(ctx context.Context, client *http.Client, h *host, method, route, identity string) (status int, intact bool, err error) {
	return sendPath(ctx, client, h, method, "/"+route+"/"+identity, identity)
}

// sendPath is like send with a path that need not contain the identity.
func sendPath(ctx context.Context, client *http.Client, h *host, method, path, identity string) (status int, intact bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(portCall)+path, nil)
	if err != nil {
		return 0, false, err
	}
	request.Host = hostName
	identityHeader, deadlineHeader := standin.HeaderNames()
	request.Header.Set(identityHeader, identity)
	request.Header.Set(deadlineHeader, fmt.Sprint(callTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false, err
	}
	return response.StatusCode, string(body) == standin.ResponseBody(identity, path), nil
}

// recordIfCutByStop records a violation if a request failed because a planned stop
// of the host cut it off. It ignores failures that have another explanation: a
// connection closed within closeRaceWindow, a failed dial, a timeout, or an
// unplanned fault that is recent or still lasts.
func (d *deployment) recordIfCutByStop(h *host, identity string, started time.Time, err error) {
	var opErr *net.OpError
	h.mu.Lock()
	stopStarted := h.stopStarted
	h.mu.Unlock()
	racedWithClose := time.Since(started) < closeRaceWindow
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if stopStarted.IsZero() || racedWithClose || dialFailed || errors.Is(err, context.DeadlineExceeded) || !d.noRecentFault(started) {
		return
	}
	d.ledger.mu.Lock()
	d.ledger.summary.Lost++
	d.ledger.mu.Unlock()
	d.ledger.recordViolation("request %s was cut by the stop of host %d after %v: %v", identity, h.index, time.Since(started), err)
}

// faultGracePeriod is the time after an unplanned fault during which the time limit
// for configurations and the check for lost requests stay suspended.
const faultGracePeriod = 3 * time.Second

// recordFault records that an unplanned fault lasts until end.
func (d *deployment) recordFault(cause string, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end.After(d.faultEnds[cause]) {
		d.faultEnds[cause] = end
	}
}

// noRecentFault reports whether every unplanned fault recorded so far ended at least
// faultGracePeriod before since.
func (d *deployment) noRecentFault(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, end := range d.faultEnds {
		if end.Add(faultGracePeriod).After(since) {
			return false
		}
	}
	return true
}
