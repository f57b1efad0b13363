package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// smallMemoryMb and smallBandwidthMbps are those of the smallest machines of the users'
	// pages.
	smallMemoryMb      = 184
	smallBandwidthMbps = 10
	// restartPause is the time after which the platform starts an ended process again.
	restartPause = 300 * time.Millisecond
)

// residentBytes returns the resident memory of a process, zero if it has ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// guardMemory ends the host's process as soon as it exceeds the memory of its machine, as
// the platform does, and starts it again. It returns how often that happened and the
// largest memory seen.
func (w *world) guardMemory(h *host, stop <-chan struct{}) (ends, largest int) {
	for {
		select {
		case <-stop:
			return ends, largest
		case <-time.After(10 * time.Millisecond):
		}
		now := residentBytes(h.cmd.Process.Pid)
		largest = max(largest, now)
		if now <= w.memoryMb<<20 {
			continue
		}
		w.log("memory", "%s: %d MB of %d MB, the platform ends the process", h.name, now>>20, w.memoryMb)
		ends++
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(restartPause)
		if err := h.startProcess(w); err != nil {
			w.log("start", "%s: %v", h.name, err)
			return ends, largest
		}
	}
}

// longIDs lets many clients send requests whose identifiers are long, in heads within the
// limit of the configuration.
func longIDs(w *world) verdict {
	const headBytes, length = 16384, 40 * time.Second
	w.memoryMb, w.bandwidthMbps = smallMemoryMb, smallBandwidthMbps
	conns := 1000
	if text := os.Getenv("CONNS"); text != "" {
		conns, _ = strconv.Atoi(text)
	}
	routes := []route{{name: "list", host: "route.example", prefix: "/list/", service: "route", kind: "idempotent", timeoutMs: 1200, targetMs: 300, attempts: 2}}
	if err := w.configure(1, []string{"route"}, routes); err != nil {
		return notRun("%v", err)
	}
	for range 4 {
		if _, err := w.addHost("route", instanceSettings{work: func(*http.Request) work { return work{takes: 20 * time.Millisecond} }}); err != nil {
			return notRun("%v", err)
		}
	}
	if !w.awaitReady() {
		return notRun("the nodes don't become ready")
	}
	stop := make(chan struct{})
	var guards, crowd sync.WaitGroup
	var ends, largest [2]int
	for i := range 2 {
		guards.Go(func() { ends[i], largest[i] = w.guardMemory(w.hosts[i], stop) })
	}
	until := time.Now().Add(length)
	var sent, answered atomic.Int64
	counts := [2]*statusCounts{newStatusCounts(), newStatusCounts()}
	for i := range 2 {
		guards.Go(func() { counts[i].record(w, w.hosts[i].name, stop) })
		for range conns {
			crowd.Go(func() {
				for time.Now().Before(until) {
					w.sendLong(w.hosts[i], headBytes, until, &sent, &answered, counts[i])
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	crowd.Wait()
	close(stop)
	guards.Wait()
	w.log("crowd", "%d requests sent, %d answered, %d run by instances", sent.Load(), answered.Load(), len(w.allRuns()))
	text := fmt.Sprintf("two machines of four ended their process %d and %d times for memory over %d MB; the largest was %d and %d MB; %d requests of %d answered",
		ends[0], ends[1], w.memoryMb, largest[0]>>20, largest[1]>>20, answered.Load(), sent.Load())
	if ends[0] >= 3 && ends[1] >= 3 {
		return verdict{exitBroken, "broken: Fault: " + text}
	}
	return held("%s", text)
}

// sendLong sends requests on one connection until it is closed.
func (w *world) sendLong(h *host, headBytes int, until time.Time, sent, answered *atomic.Int64, counts *statusCounts) {
	c, err := net.DialTimeout("tcp", h.addr(portOutbound), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for time.Now().Before(until) {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+nextRequest.Add(1))
		if w.trouble {
			rest := headBytes - len(head(http.MethodGet, "route.example", "/none/x", id, "", time.Second))
			id += strings.Repeat("\xe9", rest-64)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		sent.Add(1)
		counts.add("sent")
		if _, err := io.WriteString(c, head(http.MethodGet, "route.example", "/none/x", id, "", time.Second)); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
		answered.Add(1)
		counts.add(strconv.Itoa(resp.StatusCode))
	}
}

// statusCounts counts what a crowd sends to a machine and the statuses of its answers. The
// single requests are too many for the record.
type statusCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newStatusCounts() *statusCounts { return &statusCounts{counts: make(map[string]int)} }

func (s *statusCounts) add(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// record writes the counts of each second to the record.
func (s *statusCounts) record(w *world, name string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		s.mu.Lock()
		w.log("crowd", "%s, in the last second, sent and answered by status: %v", name, s.counts)
		clear(s.counts)
		s.mu.Unlock()
	}
}
