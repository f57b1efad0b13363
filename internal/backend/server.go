// Package backend is the development backend server. It announces itself to
// the node on its host, runs calls in slots, and can be configured to be slow, to
// fail or to misreport its health, to test how the mesh handles such servers.
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

// idleTimeout is the time after which an unused connection is closed. It is long
// because nodes keep their connections open for later calls.
const idleTimeout = 10 * time.Minute

// Options of a Server.
type Options struct {
	Settings *settings.Backend
	Log      *slog.Logger
	// Crash ends the process at once. It is called for a request whose body
	// contains the crash marker.
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
	record    *executionRecord
	health    *health
	announcer *announcer
	http      fasthttp.Server
}

// New returns a server. Its cold start begins now.
func New(options Options) *Server {
	config := options.Settings
	s := &Server{
		settings:  config,
		log:       options.Log,
		crash:     options.Crash,
		started:   time.Now(),
		slots:     newSlots(config.Slots, config.QueueLength),
		behaviour: newBehaviour(config),
		record:    newRecord(),
		health:    &health{settings: config.Health, slots: config.Slots},
	}
	s.announcer = newAnnouncer(config, options.Log, s.slots)
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          handleError,
		MaxRequestBodySize:    config.BodyBytes,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                httplog.Quiet{},
	}
	return s
}

// Run serves connections of ln until ctx is cancelled. It then drains: it
// announces to the node that it is draining, refuses further calls as not run, and
// returns once the calls in progress have ended or the grace period is over. It
// closes ln.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	taskCtx, stop := context.WithCancel(context.Background())
	draining, drained := make(chan struct{}), make(chan struct{})
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { s.announcer.run(taskCtx, draining, drained) })
	tasks.Go(func() { s.sampleLoad(taskCtx) })
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(ln) }()

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.drain(draining, drained)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.settings.AnnounceInterval)
	defer cancel()
	if err := s.http.ShutdownWithContext(shutdownCtx); err != nil {
		s.log.Warn("connections remain open at exit", "error", err)
		return nil
	}
	return <-served
}

// drain refuses further calls. It waits, for at most the grace period, until the
// node was told that this server is draining and the calls in progress have ended.
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
			s.log.Warn("drain not complete at the end of the grace period", "calls", s.slots.current().InUse)
			return
		}
	}
	s.log.Info("drained")
}

// sampleLoad records the load for a lagging health endpoint.
func (s *Server) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.health.addSample(now, s.slots.current())
		}
	}
}
