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

// Metric name and label of the lines of the metrics endpoint that count the
// bytes of control messages between nodes.
const (
	controlMetric = "chicory_control_bytes_total{"
	deliverLabel  = `cause="deliver"`
)

// controlByteMeter measures the bytes of the control messages that the nodes send
// to and receive from each other.
type controlByteMeter struct {
	layout       *deploy.Layout
	excludedHost mesh.HostID
	initialBytes map[mesh.HostID]float64
	startTime    time.Time
	// meanPerNode is the mean over the nodes, highestPerNode the value of the
	// node with the most, both in bytes per second.
	meanPerNode, highestPerNode float64
}

func (m *controlByteMeter) start(ctx context.Context) error {
	m.initialBytes, m.startTime = map[mesh.HostID]float64{}, time.Now()
	for _, h := range m.layout.Hosts {
		bytes, err := readControlBytes(ctx, h)
		if err != nil {
			return err
		}
		m.initialBytes[h.Name] = bytes
	}
	return nil
}

// exclude leaves a node out of the measurement, because its restart resets its
// counters.
func (m *controlByteMeter) exclude(h *deploy.Host) { m.excludedHost = h.Name }

func (m *controlByteMeter) finish(ctx context.Context, f *failures) {
	seconds, nodes := time.Since(m.startTime).Seconds(), 0
	for _, h := range m.layout.Hosts {
		before, ok := m.initialBytes[h.Name]
		if !ok || h.Name == m.excludedHost {
			continue
		}
		after, err := readControlBytes(ctx, h)
		if err != nil {
			f.add("read the metrics of host %s: %v", h.Name, err)
			continue
		}
		nodes++
		m.meanPerNode += (after - before) / seconds
		m.highestPerNode = max(m.highestPerNode, (after-before)/seconds)
	}
	m.meanPerNode /= float64(max(nodes, 1))
}

// readControlBytes returns the bytes of control messages that a host's node has
// sent and received.
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
		return 0, fmt.Errorf("metrics hold no line %s with label %s", controlMetric, deliverLabel)
	}
	return sum, lines.Err()
}
