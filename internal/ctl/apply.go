package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

const (
	defaultWaitTimeout = 30 * time.Second
	// waitPollInterval is the time between two status requests of --wait.
	waitPollInterval = 200 * time.Millisecond
)

// applyFlags are the flags of `config apply`.
type applyFlags struct {
	operation   string
	base        uint64
	note        string
	wait        bool
	waitTimeout time.Duration
}

// applyResult is the output of `config apply`. InForce is set with --wait only.
type applyResult struct {
	Version   mesh.ConfigVersion  `json:"version"`
	Hash      config.Hash         `json:"hash"`
	Operation publish.OperationID `json:"operation"`
	InForce   *inForceStatus      `json:"in_force,omitempty"`
}

// inForceStatus tells on how many hosts a version is in force, which means that
// the node of the host has applied it.
type inForceStatus struct {
	Version mesh.ConfigVersion `json:"version"`
	// Hosts counts the hosts on which the version is in force, Total all hosts.
	Hosts uint32 `json:"hosts"`
	Total uint32 `json:"total"`
	// Missing lists some of the hosts on which the version is not in force.
	Missing []mesh.HostID `json:"missing"`
	// Rejection is the reason that a host gave for refusing the version.
	Rejection string `json:"rejection,omitempty"`
}

func (f *inForceStatus) complete() bool { return f.Total > 0 && f.Hosts >= f.Total }

func (f *inForceStatus) String() string {
	line := fmt.Sprintf("%v in force on %d of %d", f.Version, f.Hosts, f.Total)
	if len(f.Missing) > 0 {
		line += ", missing: " + joinHosts(f.Missing)
	}
	if f.Rejection != "" {
		line += ", rejected: " + f.Rejection
	}
	return line
}

func joinHosts(hosts []mesh.HostID) string {
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = string(host)
	}
	return strings.Join(names, " ")
}

func (a *app) applyCommand() *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Publishes a configuration file as the next accepted version",
		Args:  exactArgs("FILE"),
		RunE: a.runWithSettings(func(cmd *cobra.Command, args []string) error {
			return a.apply(cmd, args[0], &flags)
		}),
	}
	cmd.Flags().StringVar(&flags.operation, "operation", "", "operation ID (idempotency key); to retry a command safely, pass the same ID (default: generated)")
	cmd.Flags().Uint64Var(&flags.base, "base", 0, "number of the version that the change was made against (default: the newest accepted version)")
	cmd.Flags().StringVar(&flags.note, "note", "", "note for the history")
	cmd.Flags().BoolVar(&flags.wait, "wait", false, "wait until the version is in force on all hosts")
	cmd.Flags().DurationVar(&flags.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest time to wait with --wait")
	return cmd
}

func (a *app) apply(cmd *cobra.Command, path string, flags *applyFlags) error {
	content, err := readValidConfig(path)
	if err != nil {
		return err
	}
	if flags.operation == "" {
		flags.operation = uuid.NewString()
	}
	base := mesh.ConfigVersion(flags.base)
	if !cmd.Flags().Changed("base") {
		if base, err = a.currentVersion(cmd.Context()); err != nil {
			return err
		}
	}
	result := applyResult{Hash: content.Hash, Operation: publish.OperationID(flags.operation)}
	if result.Version, err = a.publish(cmd.Context(), content, base, &result, flags.note); err != nil {
		return err
	}
	var waitErr error
	if flags.wait {
		result.InForce, waitErr = a.waitInForce(cmd.Context(), result.Version, flags.waitTimeout)
	}
	if err := a.print(cmd, &result, result.writeText); err != nil {
		return err
	}
	return waitErr
}

func (r *applyResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "accepted as %v, hash %s, operation %s\n", r.Version, r.Hash, r.Operation)
	if r.InForce != nil {
		_, err = fmt.Fprintln(w, r.InForce)
	}
	return err
}

// currentVersion returns the newest accepted version that is known to the node that
// answers. If the platform holds a newer one, publishing against the returned base
// is refused as a conflict.
func (a *app) currentVersion(ctx context.Context) (mesh.ConfigVersion, error) {
	reply, err := a.client.send(ctx, core.OperatorRequest{Status: &core.StatusRequest{}})
	if err != nil {
		return 0, err
	}
	return reply.Status.Head.Version, nil
}

// publish sends the configuration with client.send, which tries the nodes in turn
// until one answers, and returns the accepted version. It reads only the operation
// ID from result.
func (a *app) publish(ctx context.Context, content *config.Accepted, base mesh.ConfigVersion, result *applyResult, note string) (mesh.ConfigVersion, error) {
	reply, err := a.client.send(ctx, core.OperatorRequest{Apply: &core.ApplyRequest{
		Operation: result.Operation, Operator: a.settings.Operator, Note: note, Base: base, Snapshot: content.Encoded,
	}})
	if err != nil {
		if exitCodeOf(err) == ExitUnsettled {
			return 0, newError(ExitUnsettled, fmt.Sprintf("Repeat the command with --operation %s; it takes effect at most once.", result.Operation), "%v", err)
		}
		return 0, err
	}
	if reply.Publish == nil {
		return 0, newError(ExitRejected, "", "the node refused the command: %s", reply.Err)
	}
	return reply.Publish.Version, publishError(reply.Publish, result.Operation)
}

// historyError converts the reply to `config history` into an error.
func historyError(reply *core.OperatorReply) error {
	if reply.Publish == nil {
		return newError(ExitFailure, "", "the node refused the command: %s", reply.Err)
	}
	if reply.Publish.Status == publish.Unavailable {
		return newError(ExitUnavailable, "Repeat the command once the platform is available.",
			"the platform did not answer: %s", reply.Publish.Detail)
	}
	return publishError(reply.Publish, "")
}

// waitInForce polls readerStatus, since only readers have complete counts, until the
// version or a newer one is in force on all hosts. If that takes longer than the time-out, it returns the
// last known status and an error with the code ExitNotInForce.
func (a *app) waitInForce(ctx context.Context, version mesh.ConfigVersion, timeout time.Duration) (*inForceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	last := &inForceStatus{Version: version, Missing: []mesh.HostID{}}
	for {
		if f, err := a.readInForce(ctx); err == nil && f.Version >= version {
			if last = f; f.complete() {
				return last, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, newError(ExitNotInForce,
				"The version stays accepted and its distribution continues. See `chicoryctl status` and `chicoryctl nodes`.",
				"not in force on all hosts within %v: %v", timeout, last)
		case <-ticker.C:
		}
	}
}
