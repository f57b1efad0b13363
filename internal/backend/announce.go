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

// announcer posts announcements of this server to the node on the same host.
type announcer struct {
	settings *settings.Backend
	log      *slog.Logger
	slots    *slots
	http     fasthttp.HostClient
	// accepted is true if the node accepted the last announcement.
	accepted bool
}

func newAnnouncer(s *settings.Backend, log *slog.Logger, slots *slots) *announcer {
	return &announcer{settings: s, log: log, slots: slots,
		http: fasthttp.HostClient{Addr: s.Node, DialDualStack: true, MaxConns: 2, NoDefaultUserAgentHeader: true}}
}

// run sends an announcement at the start, at every interval and when draining is
// closed, until ctx is cancelled. It closes drained once the announcement that
// follows the close of draining was accepted or has failed.
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

// announce sends one announcement. It logs when the node begins or ceases to
// accept announcements; before the first one, it counts as not accepting them.
func (a *announcer) announce() {
	err := a.post()
	if ok := err == nil; ok != a.accepted {
		a.accepted = ok
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
		return a.announceError(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + a.settings.Node + AnnouncePath)
	req.SetBody(body)
	if err := a.http.DoTimeout(req, resp, a.settings.AnnounceInterval); err != nil {
		return a.announceError(err)
	}
	if status := resp.StatusCode(); status/100 != 2 {
		return a.announceError(fmt.Errorf("node answered with HTTP status %d", status))
	}
	return nil
}

func (a *announcer) announceError(cause error) error {
	return AnnounceFailed.Wrap(cause, "cannot deliver the announcement to the node").
		WithProperty(Step, "announce").WithProperty(Peer, a.settings.Node)
}
