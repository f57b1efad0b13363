package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/chicoryscale/chicoryscale/internal/backend"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// maxExamples bounds the failures that are listed for one check.
const maxExamples = 5

// failures collects the reasons for which the demo fails. It is safe for
// concurrent use.
type failures struct {
	mu   sync.Mutex
	list []string
}

func (f *failures) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// addAll adds a count and some examples.
func (f *failures) addAll(what string, examples []string) {
	if len(examples) > 0 {
		f.add("%d %s, such as %s", len(examples), what, strings.Join(examples[:min(len(examples), maxExamples)], "; "))
	}
}

func (f *failures) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// executions counts the runs of each identity over all backend servers.
type executions struct {
	counts map[string]int
	twice  int
}

// collect reads GET /executed of every backend server.
func (e *executions) collect(ctx context.Context, l *deploy.Layout, f *failures) {
	e.counts = map[string]int{}
	for _, h := range l.Hosts {
		for _, b := range h.Backends {
			executed, err := readExecuted(ctx, b.Addr)
			if err != nil {
				f.add("runs of %s: %v", b.Instance, err)
				continue
			}
			if executed.Unrecorded > 0 {
				f.add("%s has not recorded %d runs", b.Instance, executed.Unrecorded)
			}
			for id, n := range executed.Counts {
				e.counts[id] += n
			}
		}
	}
	var twice []string
	for id, n := range e.counts {
		if n > 1 {
			twice = append(twice, fmt.Sprintf("%s (%d times)", id, n))
		}
	}
	e.twice = len(twice)
	f.addAll("requests ran more than once", twice)
}

func readExecuted(ctx context.Context, addr string) (*backend.Executed, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+backend.ExecutedPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	executed := new(backend.Executed)
	return executed, json.NewDecoder(resp.Body).Decode(executed)
}

// check compares the callers' results with the runs at the backend servers.
func (c *callers) check(ran *executions, f *failures) {
	t := c.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	f.addAll("wrong answers", t.wrong)
	var lost, denied []string
	for id, o := range t.orders {
		runs := ran.counts[id]
		switch {
		case o.answered > 0 && runs == 0:
			lost = append(lost, id)
		case o.denied, o.answered == 0 && !o.uncertain && runs > 0:
			denied = append(denied, id)
		}
	}
	f.addAll("orders were answered without a run", lost)
	f.addAll("orders were said to be not run and had run", denied)
	if t.calls == 0 {
		f.add("no call was made")
	}
}
