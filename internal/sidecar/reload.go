package sidecar

import (
	"context"
	"os"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// settingsInterval is the period at which the settings are read again: they may
// change without a signal.
const settingsInterval = 2 * time.Second

// WatchSettings takes over changed settings until ctx ends. Addresses hold until
// the next start.
func (n *Node) WatchSettings(ctx context.Context, signals <-chan os.Signal, load func() (Settings, error)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	present := n.settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		next, err := load()
		if err != nil {
			n.log.Event("settings.unreadable", "error", err.Error())
			continue
		}
		if next != present {
			n.step(proxy.SettingsChanged{Service: next.Service, Repeats: next.Repeats})
		}
		if signalled || next != present {
			n.log.Event("settings.reloaded", "signalled", signalled, "changed", next != present, "service", string(next.Service))
		}
		present = next
	}
}
