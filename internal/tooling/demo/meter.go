package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// Parts of the lines of the metrics endpoint that count the bytes of control
// messages between nodes.
const (
	controlMetric = "chicory_control_bytes_total{"
	deliverLabel  = `cause="deliver"`
)

// byteMeter measures the control bytes of the nodes, sent and received.
type byteMeter struct {
	layout   *deploy.Layout
	excluded mesh.HostID
	first    map[mesh.HostID]float64
	began    time.Time
	// perNode is the mean in bytes per second and node, highest that of the
	// node with the most.
	perNode, highest float64
}

func (m *byteMeter) begin(ctx context.Context) error {
	m.first, m.began = map[mesh.HostID]float64{}, time.Now()
	for _, h := range m.layout.Hosts {
		bytes, err := readControlBytes(ctx, h)
		if err != nil {
			return err
		}
		m.first[h.Name] = bytes
	}
	return nil
}

// exclude leaves out a node whose counters start again.
func (m *byteMeter) exclude(h *deploy.Host) { m.excluded = h.Name }

func (m *byteMeter) end(ctx context.Context, f *failures) {
	seconds, nodes := time.Since(m.began).Seconds(), 0
	for _, h := range m.layout.Hosts {
		before, ok := m.first[h.Name]
		if !ok || h.Name == m.excluded {
			continue
		}
		after, err := readControlBytes(ctx, h)
		if err != nil {
			f.add("metrics of %s: %v", h.Name, err)
			continue
		}
		nodes++
		m.perNode += (after - before) / seconds
		m.highest = max(m.highest, (after-before)/seconds)
	}
	m.perNode /= float64(max(nodes, 1))
}

func readControlBytes(ctx context.Context, h *deploy.Host) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.MetricsAddr+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	sum, found := 0.0, false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, controlMetric) || !strings.Contains(line, deliverLabel) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			return 0, err
		}
		sum, found = sum+value, true
	}
	if !found {
		return 0, fmt.Errorf("no line %s with %s", controlMetric, deliverLabel)
	}
	return sum, lines.Err()
}
