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

// maxExamples bounds the examples that are listed for one failed check.
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

// addExamples adds one failure with the number of examples and the first few of
// them. It adds nothing if there are none.
func (f *failures) addExamples(description string, examples []string) {
	if len(examples) > 0 {
		f.add("%d %s, such as %s", len(examples), description, strings.Join(examples[:min(len(examples), maxExamples)], "; "))
	}
}

func (f *failures) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// executions holds how often the backend servers have executed each request ID.
type executions struct {
	// counts holds the executions by request ID, over all backend servers.
	counts map[string]int
	// duplicateCount is the number of request IDs that were executed more than
	// once.
	duplicateCount int
}

// collect reads GET /executed of every backend server. Request IDs that were
// executed more than once are failures.
func (e *executions) collect(ctx context.Context, l *deploy.Layout, f *failures) {
	e.counts = map[string]int{}
	for _, h := range l.Hosts {
		for _, b := range h.Backends {
			executed, err := readExecuted(ctx, b.Addr)
			if err != nil {
				f.add("read the executions of backend server %s: %v", b.Instance, err)
				continue
			}
			if executed.Unrecorded > 0 {
				f.add("backend server %s did not record %d executions", b.Instance, executed.Unrecorded)
			}
			for id, n := range executed.Counts {
				e.counts[id] += n
			}
		}
	}
	var duplicates []string
	for id, n := range e.counts {
		if n > 1 {
			duplicates = append(duplicates, fmt.Sprintf("%s (%d times)", id, n))
		}
	}
	e.duplicateCount = len(duplicates)
	f.addExamples("request IDs were executed more than once", duplicates)
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

// checkExecutions compares the callers' results with the executions at the
// backend servers: an answered order must have been executed, and an order whose
// attempts all ended with not-run must not have been. A not-run after an answer
// is also a failure.
func (c *callers) checkExecutions(executed *executions, f *failures) {
	t := c.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	f.addExamples("wrong answers", t.wrongAnswers)
	var lost, falselyNotRun []string
	for id, o := range t.orders {
		executionCount := executed.counts[id]
		switch {
		case o.answered > 0 && executionCount == 0:
			lost = append(lost, id)
		case o.notRunAfterAnswer, o.answered == 0 && !o.uncertain && executionCount > 0:
			falselyNotRun = append(falselyNotRun, id)
		}
	}
	f.addExamples("orders were answered but not executed", lost)
	f.addExamples("orders were reported as not run although they were executed", falselyNotRun)
	if t.calls == 0 {
		f.add("the callers made no calls")
	}
}
