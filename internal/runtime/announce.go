package runtime

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/core"
)

// Limits of an announcement.
const (
	maxNameBytes     = 128
	maxAnnounceBytes = 4 << 10
	maxLeaseMillis   = 60_000
)

// serveAnnounce handles the announcement of a backend server on this host.
func (n *Node) serveAnnounce(ctx *fasthttp.RequestCtx) {
	announcement, err := decodeAnnouncement(ctx.PostBody())
	if err != nil {
		n.opts.Metrics.BadRequests.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !announcement.Draining {
		n.backendConns.Warm(announcement.Addr)
	}
	n.step(&core.Event{Kind: core.KindAnnounced, Announcement: announcement})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// decodeAnnouncement decodes and validates the JSON of an announcement. The
// error is of type ErrBadInput and names the invalid field.
func decodeAnnouncement(data []byte) (*core.Announcement, error) {
	if len(data) > maxAnnounceBytes {
		return nil, ErrBadInput.New("announcement has %d bytes, more than %d", len(data), maxAnnounceBytes)
	}
	a := new(core.Announcement)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(a); err != nil {
		return nil, ErrBadInput.Wrap(err, "announcement is not valid JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, ErrBadInput.New("announcement is followed by further data")
	}
	return a, checkAnnouncement(a)
}

func checkAnnouncement(a *core.Announcement) error {
	for _, name := range [...]struct{ field, value string }{
		{"instance", string(a.Instance)}, {"service", string(a.Service)}, {"version", string(a.Version)},
	} {
		if name.value == "" || len(name.value) > maxNameBytes {
			return ErrBadInput.New("announcement: %s must have 1 to %d bytes", name.field, maxNameBytes)
		}
		for _, r := range name.value {
			if r <= ' ' || r > '~' {
				return ErrBadInput.New("announcement: %s must be printable ASCII without spaces", name.field)
			}
		}
	}
	if _, err := netip.ParseAddrPort(a.Addr); err != nil {
		return ErrBadInput.New("announcement: addr must be a numeric IP address and a port")
	}
	if a.Slots == 0 {
		return ErrBadInput.New("announcement: slots must be at least 1")
	}
	if a.LeaseMillis == 0 || a.LeaseMillis > maxLeaseMillis {
		return ErrBadInput.New("announcement: lease_ms must be 1 to %d", maxLeaseMillis)
	}
	return nil
}
