package runtime

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/timeline"
)

const (
	// controlTimeout bounds dialling, each write, and the wait for the
	// acknowledgement of a delivery.
	controlTimeout = 2 * time.Second
	// controlIdleTimeout bounds the wait for the next message on a connection.
	// It exceeds peerIdleTimeout, so that the sender closes an idle connection.
	controlIdleTimeout = 2 * time.Minute
	// operatorTimeout bounds the wait for the reducer's reply to an operator.
	operatorTimeout = 15 * time.Second
	// maxControlConns bounds the open control connections of a node.
	maxControlConns = 1024
)

// Ack is the empty reply to Control.Deliver.
type Ack struct{}

// TimelineRequest requests the timeline entries of a host that pass the filter.
type TimelineRequest struct {
	Filter timeline.Filter
}

// TimelineReply holds the entries of one host, oldest first.
type TimelineReply struct {
	Host    mesh.HostID
	Entries []timeline.Entry
	// Dropped is the number of older entries that the ring buffer has
	// overwritten.
	Dropped uint64
}

// controlService holds the methods that net/rpc exposes under "Control".
type controlService struct {
	node *Node
}

// Deliver passes the control messages of a peer to the reducer.
func (s *controlService) Deliver(env core.Envelope, _ *Ack) (err error) {
	defer s.recoverPanic(&err)
	s.node.deliver(&env)
	return nil
}

// Operator runs an operator's command and waits for its reply.
func (s *controlService) Operator(req core.OperatorRequest, reply *core.OperatorReply) (err error) {
	defer s.recoverPanic(&err)
	n := s.node
	req.ID = n.nextID.Add(1)
	waiter := make(chan core.OperatorReply, 1)
	n.mu.Lock()
	n.operators[req.ID] = waiter
	n.stepLocked(&core.Event{Kind: core.KindOperator, Operator: &req})
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.operators, req.ID)
	}()
	timer := time.NewTimer(operatorTimeout)
	defer timer.Stop()
	select {
	case *reply = <-waiter:
		return nil
	case <-timer.C:
		return ErrTimeout.New("no reply to the operator's command within %v", operatorTimeout)
	}
}

// Timeline returns this host's timeline.
func (s *controlService) Timeline(req TimelineRequest, reply *TimelineReply) (err error) {
	defer s.recoverPanic(&err)
	s.node.mu.Lock()
	reply.Dropped = s.node.ring.Dropped()
	s.node.mu.Unlock()
	reply.Host = s.node.opts.Host
	reply.Entries = req.Filter.Apply(s.node.Timeline())
	return nil
}

// recoverPanic turns a panic into an error, because net/rpc does not recover
// panics of a method. It is called by defer.
func (s *controlService) recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		s.node.opts.Metrics.Panics.Add(1)
		*err = ErrInternal.New("control method panicked: %v", cause)
	}
}

// controlServer accepts and serves control connections.
type controlServer struct {
	listener net.Listener
	rpc      *rpc.Server
	opts     *Options
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

func newControlServer(n *Node, l net.Listener) (*controlServer, error) {
	s := &controlServer{listener: l, rpc: rpc.NewServer(), opts: &n.opts, conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Control", &controlService{node: n}); err != nil {
		return nil, err
	}
	s.wg.Go(s.accept)
	return s, nil
}

func (s *controlServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.admit(c) {
			_ = c.Close()
			continue
		}
		s.wg.Go(func() { s.serve(c) })
	}
}

// admit registers a connection. It reports false if the server is closed or has
// maxControlConns connections.
func (s *controlServer) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxControlConns {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *controlServer) serve(c net.Conn) {
	defer func() {
		if recover() != nil {
			s.opts.Metrics.Panics.Add(1)
		}
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	s.rpc.ServeCodec(newGobCodec(c, s.opts))
}

func (s *controlServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
