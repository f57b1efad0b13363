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
// drops packets leaves time for the next one.
const maxDialTime = 2 * time.Second

// methods of the nodes' control service.
const (
	methodOperator = "Control.Operator"
	methodTimeline = "Control.Timeline"
)

// ErrNotSent means that no connection to a node could be opened.
var ErrNotSent = errors.New("cannot connect")

// SendRequest sends an operator's command to the node with a control address. It waits
// for the reply until ctx ends.
func SendRequest(ctx context.Context, addr string, req core.OperatorRequest) (*core.OperatorReply, error) {
	reply := new(core.OperatorReply)
	if err := call(ctx, addr, methodOperator, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// FetchTimeline reads the timeline of the node with a control address.
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

// nodes asks the nodes of the settings in turn.
type nodes struct {
	addrs   []string
	timeout time.Duration
}

// ask sends a command to the first node that answers. A command that changes
// something must be safe to send twice, since a node that gave no answer may
// have executed it.
func (n *nodes) ask(ctx context.Context, req core.OperatorRequest) (*core.OperatorReply, error) {
	var failed []string
	sent := false
	for _, addr := range n.addrs {
		attempt, cancel := context.WithTimeout(ctx, n.timeout)
		reply, err := SendRequest(attempt, addr, req)
		cancel()
		if err == nil {
			return reply, nil
		}
		sent = sent || !errors.Is(err, ErrNotSent)
		failed = append(failed, addr+": "+err.Error())
	}
	return nil, noAnswer(sent && changes(&req), failed)
}

func noAnswer(mayHaveRun bool, failed []string) error {
	reason := "no node of the settings answered:\n  " + strings.Join(failed, "\n  ")
	if mayHaveRun {
		return fail(ExitUnsettled, "The command may have taken effect. Repeat it unchanged; it takes effect at most once.", "%s", reason)
	}
	return fail(ExitUnavailable, "Check that the nodes run and that `nodes` in the settings holds their control addresses.", "%s", reason)
}

// changes reports whether a command changes something.
func changes(req *core.OperatorRequest) bool {
	return req.Apply != nil || req.Forget != nil || req.StartMove != nil || req.Withdraw != nil || req.Drain != nil
}
