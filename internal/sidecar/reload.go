package sidecar

import (
	"context"
	"os"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// settingsPollInterval is the period at which the settings file is read again, as it
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// WatchSettings applies changed settings until ctx ends. It calls load periodically and
// after each signal. Only the service and the retry budget take effect; other settings,
// such as addresses, stay as they were until the next start.
func (n *Node) WatchSettings(ctx context.Context, signals <-chan os.Signal, load func() (Settings, error)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := n.settings
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
		if next != current {
			n.step(proxy.SettingsChanged{Service: next.Service, Repeats: next.Repeats})
		}
		if signalled || next != current {
			n.log.Event("settings.reloaded", "signalled", signalled, "changed", next != current, "service", string(next.Service))
		}
		current = next
	}
}
