// Package standin provides the development server of the platform's table and object
// store. It keeps its state in memory and injects faults on request: it can be
// unavailable, respond slowly, or lose responses after a write has taken effect.
package standin

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/httplog"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/memstore"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

// Limits of the server.
const (
	// MaxDelayMillis is the longest delay that can be set, in milliseconds.
	MaxDelayMillis = 60_000

	readTimeout = 30 * time.Second
	idleTimeout = 5 * time.Minute
)

// Server is the development server. It is safe for concurrent use.
type Server struct {
	log  *slog.Logger
	now  func() time.Time
	http fasthttp.Server

	mu            sync.Mutex
	store         *memstore.Store
	faults        wire.Faults
	reads         rate
	writes        rate
	conflicts     uint64
	refused       uint64
	lostResponses uint64
}

// Options of a Server.
type Options struct {
	Log *slog.Logger
	// Now is the clock by which operations are counted per second.
	Now func() time.Time
	// Connections is the largest number of open connections.
	Connections int
}

// New returns a server with an empty store.
func New(options Options) *Server {
	s := &Server{log: options.Log, now: options.Now, store: memstore.New()}
	s.http = fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           options.Connections,
		ErrorHandler:          handleError,
		MaxRequestBodySize:    wire.MaxRequestBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                httplog.Quiet{},
	}
	return s
}

// Run serves connections of ln until ctx is cancelled. It then waits for
// requests in progress. It closes ln.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(); err != nil {
		return err
	}
	return <-served
}

// outcome is the result of one operation, including the injected faults.
type outcome struct {
	result platform.Result
	// unavailable is set if the operation was refused without effect.
	unavailable bool
	// loseResponse is set if the operation took effect and its response must be
	// dropped.
	loseResponse bool
}

// execute executes one operation with the current faults.
func (s *Server) execute(req *platform.Request) outcome {
	if delay := s.countArrival(req.Op); delay > 0 {
		time.Sleep(delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		s.refused++
		return outcome{unavailable: true}
	}
	out := outcome{result: s.store.Execute(req)}
	switch out.result.Status {
	case platform.Conflict:
		s.conflicts++
	case platform.Invalid:
		s.refused++
	case platform.OK:
		if isWrite(req.Op) && s.faults.LoseResponses > 0 {
			s.faults.LoseResponses--
			s.lostResponses++
			out.loseResponse = true
		}
	}
	return out
}

// countArrival counts an operation and returns the delay that the current faults
// impose on it.
func (s *Server) countArrival(op platform.Op) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isWrite(op) {
		s.writes.add(s.now())
	} else {
		s.reads.add(s.now())
	}
	return time.Duration(s.faults.DelayMillis) * time.Millisecond
}

func isWrite(op platform.Op) bool {
	return op == platform.OpCommit || op == platform.OpPutObject
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(faults wire.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.log.Info("faults changed", "unavailable", faults.Unavailable,
		"delay_ms", faults.DelayMillis, "lose_responses", faults.LoseResponses)
}

// Faults returns the current faults.
func (s *Server) Faults() wire.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the counters since the server started.
func (s *Server) Counters() wire.Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return wire.Counters{
		Reads:         s.reads.snapshot(now),
		Writes:        s.writes.snapshot(now),
		Conflicts:     s.conflicts,
		Refused:       s.refused,
		LostResponses: s.lostResponses,
	}
}
