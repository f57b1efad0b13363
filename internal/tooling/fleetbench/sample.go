package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// ticksPerSecond is the number of clock ticks per second, the unit of CPU time in
// /proc. Linux fixes it at 100 for programs on all architectures that Go
// supports.
const ticksPerSecond = 100

// stateEstablished is the code of an established connection in /proc/net/tcp.
const stateEstablished = "01"

// sample holds the resource usage of one node's process at one time.
type sample struct {
	at            time.Time
	residentBytes float64
	// cpuTime is the CPU time since the start of the process.
	cpuTime     time.Duration
	connections int
	// sent and received are the control bytes between nodes since the start of
	// the process.
	sent, received float64
}

// sampleNodes samples the nodes of all hosts, in the order of the layout.
func sampleNodes(ctx context.Context, d *deploy.Deployment) ([]sample, error) {
	established, err := establishedSockets("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	samples := make([]sample, len(d.Layout.Hosts))
	for i, h := range d.Layout.Hosts {
		s := &samples[i]
		s.at = time.Now()
		s.sent, s.received, err = readControlBytes(ctx, h)
		if err != nil {
			return nil, fmt.Errorf("read the metrics of host %s: %w", h.Name, err)
		}
		dir := filepath.Join("/proc", strconv.Itoa(d.NodeProcess(h).PID()))
		if err := s.readProcess(dir, established); err != nil {
			return nil, fmt.Errorf("read the resource usage of the node process of host %s: %w", h.Name, err)
		}
	}
	return samples, nil
}

func (s *sample) readProcess(dir string, established map[string]bool) error {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return err
	}
	if s.cpuTime, err = parseCPUTime(string(stat)); err != nil {
		return err
	}
	statm, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return err
	}
	if s.residentBytes, err = parseResidentBytes(string(statm)); err != nil {
		return err
	}
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return err
	}
	for _, file := range files {
		// A file may have been closed since the directory was read.
		if target, err := os.Readlink(filepath.Join(dir, "fd", file.Name())); err == nil && established[target] {
			s.connections++
		}
	}
	return nil
}

// parseCPUTime reads the user and system time from /proc/PID/stat. The name of the
// program, in parentheses, may contain spaces and parentheses.
func parseCPUTime(stat string) (time.Duration, error) {
	const user, system = 11, 12 // zero-based indexes after the program name
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("stat has only %d fields after the program name", len(fields))
	}
	var ticks uint64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse the CPU time in stat: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// parseResidentBytes reads the resident memory in bytes from /proc/PID/statm.
func parseResidentBytes(statm string) (float64, error) {
	fields := strings.Fields(statm)
	if len(fields) < 2 {
		return 0, errors.New("statm has no resident size")
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return float64(pages) * float64(os.Getpagesize()), err
}

// establishedSockets returns the sockets of established TCP connections from a
// table in the format of /proc/net/tcp. The keys have the form socket:[inode], as
// in the links in /proc/PID/fd.
func establishedSockets(table string) (map[string]bool, error) {
	const state, inode = 3, 9
	file, err := os.Open(table)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	sockets := map[string]bool{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > inode && fields[state] == stateEstablished {
			sockets["socket:["+fields[inode]+"]"] = true
		}
	}
	return sockets, lines.Err()
}

// Metric name and labels of the lines of the metrics endpoint that count the
// bytes of control messages between nodes.
const (
	controlMetric = "chicory_control_bytes_total{"
	deliverLabel  = `cause="deliver"`
	sentLabel     = `direction="sent"`
)

// readControlBytes reads the bytes of control messages that a host's node has sent
// and received.
func readControlBytes(ctx context.Context, h *deploy.Host) (sent, received float64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.MetricsAddr+"/metrics", nil)
	if err != nil {
		return 0, 0, err
	}
	req.Close = true // a kept connection would count as one of the node's connections
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, controlMetric) || !strings.Contains(line, deliverLabel) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			return 0, 0, err
		}
		if strings.Contains(line, sentLabel) {
			sent += value
		} else {
			received += value
		}
	}
	return sent, received, lines.Err()
}
