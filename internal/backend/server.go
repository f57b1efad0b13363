// Package backend is the development backend server. It announces itself to
// the node on its host, runs calls in slots, and can be made slow, faulty or
// dishonest, so that the behaviour of the mesh around it can be tested.
package backend

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/httplog"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// idleTimeout is the time after which an unused connection is closed. Nodes
// keep connections open, so it is long.
const idleTimeout = 10 * time.Minute

// Options of a Server.
type Options struct {
	Settings *settings.Backend
	Log      *slog.Logger
	// Crash ends the process at once. It is called for a request whose body
	// holds the crash marker.
	Crash func()
}

// Server is the development backend server.
type Server struct {
	settings  *settings.Backend
	log       *slog.Logger
	crash     func()
	started   time.Time
	slots     *slots
	behaviour *behaviour
	record    *record
	health    *health
	announcer *announcer
	http      fasthttp.Server
}

// New returns a server. Its cold start begins now.
func New(options Options) *Server {
	set := options.Settings
	s := &Server{
		settings:  set,
		log:       options.Log,
		crash:     options.Crash,
		started:   time.Now(),
		slots:     newSlots(set.Slots, set.QueueLength),
		behaviour: newBehaviour(set),
		record:    newRecord(),
		health:    &health{settings: set.Health, slots: set.Slots},
	}
	s.announcer = newAnnouncer(set, options.Log, s.slots)
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          handleError,
		MaxRequestBodySize:    set.BodyBytes,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                httplog.Quiet{},
	}
	return s
}

// Run serves connections of ln until ctx is cancelled. It then drains: it
// tells the node, refuses further calls as not run, and returns once the calls
// in progress have ended or the grace period is over. It closes ln.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	draining, drained := make(chan struct{}), make(chan struct{})
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { s.announcer.run(background, draining, drained) })
	tasks.Go(func() { s.sample(background) })
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(ln) }()

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.drain(draining, drained)
	expired, cancel := context.WithTimeout(context.Background(), s.settings.AnnounceInterval)
	defer cancel()
	if err := s.http.ShutdownWithContext(expired); err != nil {
		s.log.Warn("connections remain open at exit", "error", err)
		return nil
	}
	return <-served
}

// drain waits until the node knows that this server is draining and the calls
// in progress have ended.
func (s *Server) drain(draining chan<- struct{}, drained <-chan struct{}) {
	s.log.Info("draining", "calls", s.slots.current().InUse)
	s.slots.drain()
	close(draining)
	grace := time.NewTimer(s.settings.DrainGrace)
	defer grace.Stop()
	for _, done := range []<-chan struct{}{drained, s.slots.idle} {
		select {
		case <-done:
		case <-grace.C:
			s.log.Warn("grace period is over", "calls", s.slots.current().InUse)
			return
		}
	}
	s.log.Info("drained")
}

// sample records the load for a lagging health endpoint.
func (s *Server) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.health.add(now, s.slots.current())
		}
	}
}
