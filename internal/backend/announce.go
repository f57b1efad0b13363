package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// AnnouncePath is the path on the node to which announcements are posted.
const AnnouncePath = "/announce"

// Errors of the backend server, with the properties Step and Peer.
var (
	Errors = errorx.NewNamespace("backend")
	// AnnounceFailed means that the node did not accept an announcement.
	AnnounceFailed = Errors.NewType("announce_failed", errorx.Temporary())

	Step = errorx.RegisterPrintableProperty("step")
	Peer = errorx.RegisterPrintableProperty("peer")
)

// announcer tells the node on the same host about this server.
type announcer struct {
	settings *settings.Backend
	log      *slog.Logger
	slots    *slots
	http     fasthttp.HostClient
	// reached tells whether the last announcement was accepted.
	reached bool
}

func newAnnouncer(s *settings.Backend, log *slog.Logger, slots *slots) *announcer {
	return &announcer{settings: s, log: log, slots: slots,
		http: fasthttp.HostClient{Addr: s.Node, DialDualStack: true, MaxConns: 2, NoDefaultUserAgentHeader: true}}
}

// run announces at every interval, and at once when draining is closed, until
// ctx is cancelled. It closes drained once an announcement made while draining
// was accepted or has failed.
func (a *announcer) run(ctx context.Context, draining <-chan struct{}, drained chan<- struct{}) {
	ticker := time.NewTicker(a.settings.AnnounceInterval)
	defer ticker.Stop()
	defer a.http.CloseIdleConnections()
	a.announce()
	for {
		select {
		case <-ctx.Done():
			return
		case <-draining:
			a.announce()
			close(drained)
			draining = nil
		case <-ticker.C:
			a.announce()
		}
	}
}

// announce sends one announcement and logs when the node becomes reachable or
// unreachable.
func (a *announcer) announce() {
	err := a.post()
	if ok := err == nil; ok != a.reached {
		a.reached = ok
		if ok {
			a.log.Info("node accepts announcements", "node", a.settings.Node)
		} else {
			a.log.Warn("node does not accept announcements", "error", err)
		}
	}
}

func (a *announcer) post() error {
	body, err := json.Marshal(core.Announcement{
		Instance:    a.settings.Instance,
		Service:     a.settings.Service,
		Version:     a.settings.Version,
		Addr:        a.settings.Address,
		Slots:       uint16(a.settings.Slots),
		Draining:    a.slots.current().Draining,
		LeaseMillis: uint32(a.settings.Lease.Milliseconds()),
	})
	if err != nil {
		return a.fail(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + a.settings.Node + AnnouncePath)
	req.SetBody(body)
	if err := a.http.DoTimeout(req, resp, a.settings.AnnounceInterval); err != nil {
		return a.fail(err)
	}
	if status := resp.StatusCode(); status/100 != 2 {
		return a.fail(fmt.Errorf("status %d", status))
	}
	return nil
}

func (a *announcer) fail(cause error) error {
	return AnnounceFailed.Wrap(cause, "announcement failed").
		WithProperty(Step, "announce").WithProperty(Peer, a.settings.Node)
}
