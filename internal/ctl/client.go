package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/runtime"
)

// maxDialTime bounds the connection set-up to one node, so that a host that
// drops packets leaves time for trying the next node.
const maxDialTime = 2 * time.Second

// RPC methods of the nodes' control service.
const (
	methodOperator = "Control.Operator"
	methodTimeline = "Control.Timeline"
)

// ErrNotSent means that no connection to a node could be opened.
var ErrNotSent = errors.New("cannot connect")

// SendRequest sends an operator command to the node at a control address and
// waits for the reply until ctx ends. The error wraps ErrNotSent if no connection
// could be opened.
func SendRequest(ctx context.Context, addr string, req core.OperatorRequest) (*core.OperatorReply, error) {
	reply := new(core.OperatorReply)
	if err := call(ctx, addr, methodOperator, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// FetchTimeline reads the timeline of the node at a control address. The error
// wraps ErrNotSent if no connection could be opened.
func FetchTimeline(ctx context.Context, addr string, req runtime.TimelineRequest) (*runtime.TimelineReply, error) {
	reply := new(runtime.TimelineReply)
	if err := call(ctx, addr, methodTimeline, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func call(ctx context.Context, addr, method string, req, reply any) error {
	dialer := net.Dialer{Timeout: maxDialTime}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	done := client.Go(method, req, reply, make(chan *rpc.Call, 1)).Done
	select {
	case <-ctx.Done():
		return ctx.Err()
	case result := <-done:
		return result.Error
	}
}

// nodeClient sends commands to a list of nodes, trying one after the other.
// timeout bounds the attempt on each node.
type nodeClient struct {
	addrs   []string
	timeout time.Duration
}

// send sends a command to one node after the other until one answers. A command
// that changes state must be safe to send twice, since a node that did not answer
// may have executed it.
func (n *nodeClient) send(ctx context.Context, req core.OperatorRequest) (*core.OperatorReply, error) {
	var failures []string
	anySent := false
	for _, addr := range n.addrs {
		attemptCtx, cancel := context.WithTimeout(ctx, n.timeout)
		reply, err := SendRequest(attemptCtx, addr, req)
		cancel()
		if err == nil {
			return reply, nil
		}
		anySent = anySent || !errors.Is(err, ErrNotSent)
		failures = append(failures, addr+": "+err.Error())
	}
	return nil, noAnswerError(anySent && changesState(&req), failures)
}

// noAnswerError returns the error of a command that no node answered. mayHaveRun
// is set if a command that changes state was sent to at least one node.
func noAnswerError(mayHaveRun bool, failures []string) error {
	reason := "no node listed in the settings answered:\n  " + strings.Join(failures, "\n  ")
	if mayHaveRun {
		return newError(ExitUnsettled, "The command may have taken effect. Repeat it unchanged; it takes effect at most once.", "%s", reason)
	}
	return newError(ExitUnavailable, "Check that the nodes run and that `nodes` in the settings holds their control addresses.", "%s", reason)
}

// changesState reports whether a command changes the state of the mesh.
func changesState(req *core.OperatorRequest) bool {
	return req.Apply != nil || req.Forget != nil || req.StartMove != nil || req.Withdraw != nil || req.Drain != nil
}
