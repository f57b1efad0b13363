package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Guards against requests that a stopping process takes late in its grace period, passes on
// to an instance, and cuts off without an answer when the period ends. The clients take no
// notice of the readiness check and send on open connections until the process is gone.
func TestStoppingProcessAnswersEachRequestThatItPassesOn(t *testing.T) {
	is := is.New(t)
	p := startTestDeployment(t, 240, 3)
	for _, h := range p.hosts { // runs take from 0.4 to 1.2 times the time limit
		h.instance.SetFaults(standin.InstanceFaults{Slowdown: 0.8 * float64(callTimeout) / float64(serviceTime)})
	}
	var (
		mu         sync.Mutex
		clients    sync.WaitGroup
		unanswered = make(map[string]error) // by identity
		statuses   = make(map[int]int)
	)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stopping := p.hosts[0]
	stopping.signal(syscall.SIGTERM)
	for c := range 12 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				identity := fmt.Sprintf("order-%d-%d", c, n)
				status, _, err := send(t.Context(), client, stopping, http.MethodPost, "order", identity)
				mu.Lock()
				statuses[status]++
				if err != nil && !errors.Is(err, context.DeadlineExceeded) {
					unanswered[identity] = err
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond) // a refusal comes at once
			}
		})
	}
	is.True(stopping.awaitExit(shutdownGracePeriod))
	cancel()
	clients.Wait()
	for _, r := range p.allRuns() {
		if err, ok := unanswered[r.Identity]; ok {
			t.Errorf("%s ran and got no answer: %v", r.Identity, err)
		}
	}
	t.Logf("requests by status: %v", statuses)
	is.True(statuses[http.StatusOK] > 0)
}
