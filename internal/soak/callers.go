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
	// fullRateHosts is the number of hosts up to which callers pause for callerPause.
	// The callers of larger deployments share the rate of that many, since all
	// processes share one machine.
	fullRateHosts = 16
	callTimeout   = 1500 * time.Millisecond
	// lossSlack is the time within which a connection that ends belongs to a close
	// that crossed the request.
	lossSlack = 200 * time.Millisecond
	orderPart = 3 // every third request is an order
	largePart = 5 // every fifth request has a large answer
)

// call sends requests to one host until ctx ends. Callers use open connections
// until the process is gone.
func (d *deployment) call(ctx context.Context, h *host, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		route, method := "read", http.MethodGet
		if n%orderPart == 0 {
			route, method = "order", http.MethodPost
		}
		if n%largePart == 0 {
			route += "/large"
		}
		d.request(ctx, client, h, method, route, fmt.Sprintf("%s-%d-%d-%d", route, h.index, caller, n))
		time.Sleep(callerPause * time.Duration(max(1, d.opts.Hosts/fullRateHosts)))
	}
}

func isOrder(identity string) bool { return strings.HasPrefix(identity, "order-") }

func (d *deployment) request(ctx context.Context, client *http.Client, h *host, method, route, identity string) {
	began := time.Now()
	status, whole, err := send(ctx, client, h, method, route, identity)
	if ctx.Err() != nil {
		return
	}
	d.ledger.answer(identity, isOrder(identity), status, whole)
	if err != nil {
		d.checkLost(h, identity, began, err)
	}
}

// send returns status zero if there was no answer.
func send(ctx context.Context, client *http.Client, h *host, method, route, identity string) (status int, whole bool, err error) {
	return sendPath(ctx, client, h, method, "/"+route+"/"+identity, identity)
}

// sendPath sends a request whose path doesn't name its identity.
func sendPath(ctx context.Context, client *http.Client, h *host, method, path, identity string) (status int, whole bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(portCall)+path, nil)
	if err != nil {
		return 0, false, err
	}
	r.Host = hostName
	identityHeader, deadlineHeader := standin.HeaderNames()
	r.Header.Set(identityHeader, identity)
	r.Header.Set(deadlineHeader, fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := client.Do(r)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false, err
	}
	return resp.StatusCode, string(body) == standin.ResponseBody(identity, path), nil
}

// checkLost finds requests that a planned stop has cut while nothing else was
// wrong.
func (d *deployment) checkLost(h *host, identity string, began time.Time, err error) {
	var dial *net.OpError
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	crossed := time.Since(began) < lossSlack
	unread := errors.As(err, &dial) && dial.Op == "dial"
	if stopping.IsZero() || crossed || unread || errors.Is(err, context.DeadlineExceeded) || !d.calm(began) {
		return
	}
	d.ledger.mu.Lock()
	d.ledger.summary.Lost++
	d.ledger.mu.Unlock()
	d.ledger.broke("request %s was cut by the stop of host %d after %v: %v", identity, h.index, time.Since(began), err)
}

// calmTime is the time after an unplanned fault in which time bounds don't hold.
const calmTime = 3 * time.Second

// disturb notes an unplanned fault that ends at the given time.
func (d *deployment) disturb(cause string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.disturbed[cause]) {
		d.disturbed[cause] = until
	}
}

// calm reports whether there was no unplanned fault since calmTime before began.
func (d *deployment) calm(began time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, until := range d.disturbed {
		if until.Add(calmTime).After(began) {
			return false
		}
	}
	return true
}
