package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// nodeRow is one row of the output of `nodes`.
type nodeRow struct {
	Host          mesh.HostID        `json:"host"`
	FailureDomain mesh.FailureDomain `json:"failure_domain"`
	State         string             `json:"state"`
	// Unreachable is set if the answering node cannot reach the host's failure
	// domain.
	Unreachable bool `json:"unreachable"`
	// FloorKnown is set once the node has learned, after its start, the lowest
	// configuration version that it may apply. Until then it applies none.
	FloorKnown  bool         `json:"floor_known"`
	ControlAddr string       `json:"control_address"`
	CallAddr    string       `json:"call_address"`
	Backends    []backendRow `json:"backend_servers"`
}

// backendRow is one backend server of a host.
type backendRow struct {
	Instance mesh.InstanceID     `json:"instance"`
	Service  mesh.Service        `json:"service"`
	Version  mesh.BackendVersion `json:"version"`
	Slots    uint16              `json:"slots"`
	Draining bool                `json:"draining"`
}

type memberList []nodeRow

func (m memberList) find(host mesh.HostID) (nodeRow, bool) {
	for _, row := range m {
		if row.Host == host {
			return row, true
		}
	}
	return nodeRow{}, false
}

// members returns the hosts that the answering node knows.
func (a *app) members(ctx context.Context) (memberList, error) {
	reply, err := a.client.send(ctx, core.OperatorRequest{Nodes: &core.NodesRequest{}})
	if err != nil {
		return nil, err
	}
	list := memberList{}
	for i := range reply.Nodes {
		list = append(list, nodeRowOf(&reply.Nodes[i]))
	}
	return list, nil
}

func nodeRowOf(n *core.NodeStatus) nodeRow {
	r := &n.Record
	row := nodeRow{
		Host: r.Host, FailureDomain: r.Domain, State: r.State.String(), Unreachable: n.Unreachable,
		FloorKnown: r.Established, ControlAddr: r.ControlAddr, CallAddr: r.CallAddr, Backends: []backendRow{},
	}
	for _, b := range r.Backends {
		row.Backends = append(row.Backends, backendRow{b.Instance, b.Service, b.Version, b.Slots, b.Draining})
	}
	return row
}

func (a *app) nodesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "nodes",
		Short: "Lists the hosts and their backend servers",
		Args:  exactArgs(),
		RunE: a.runWithSettings(func(cmd *cobra.Command, _ []string) error {
			list, err := a.members(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(cmd, list, list.writeText)
		}),
	}
	cmd.AddCommand(a.forgetCommand())
	return cmd
}

func (m memberList) writeText(w io.Writer) error {
	lines := [][]string{{"HOST", "FAILURE DOMAIN", "STATE", "FLOOR KNOWN", "CONTROL", "BACKEND SERVERS"}}
	for _, r := range m {
		state := r.State
		if r.Unreachable {
			state += " (unreachable)"
		}
		lines = append(lines, []string{string(r.Host), string(r.FailureDomain), state, fmt.Sprint(r.FloorKnown), r.ControlAddr, r.backendsText()})
	}
	return writeTable(w, lines)
}

func (r *nodeRow) backendsText() string {
	parts := []string{}
	for _, b := range r.Backends {
		part := fmt.Sprintf("%s %s/%s", b.Instance, b.Service, b.Version)
		if b.Draining {
			part += " draining"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

// hostResult is the output of `nodes forget` and `drain`.
type hostResult struct {
	Host   mesh.HostID `json:"host"`
	Result string      `json:"result"`
}

func (r *hostResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s: %s\n", r.Host, r.Result)
	return err
}

func (a *app) forgetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "forget HOST",
		Short: "Declares a host permanently lost",
		Long: "Declares a host permanently lost. The process that ran on it cannot rejoin the mesh; a process started later can.\n" +
			"Claims whose records only this host held are reassigned to other hosts.",
		Args:              exactArgs("HOST"),
		ValidArgsFunction: a.completeHosts,
		RunE: a.runWithSettings(func(cmd *cobra.Command, args []string) error {
			host := mesh.HostID(args[0])
			reply, err := a.client.send(cmd.Context(), core.OperatorRequest{Forget: &core.ForgetRequest{Host: host}})
			if err != nil {
				return err
			}
			if reply.Err != "" {
				return newError(ExitRejected, "See `chicoryctl nodes` for the known hosts.", "%s", reply.Err)
			}
			result := hostResult{host, "forgotten"}
			return a.print(cmd, &result, result.writeText)
		}),
	}
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "drain HOST",
		Short:             "Asks the node of a host to stop gracefully",
		Args:              exactArgs("HOST"),
		ValidArgsFunction: a.completeHosts,
		RunE: a.runWithSettings(func(cmd *cobra.Command, args []string) error {
			host := mesh.HostID(args[0])
			list, err := a.members(cmd.Context())
			if err != nil {
				return err
			}
			member, ok := list.find(host)
			if !ok || member.State != membership.Alive.String() && member.State != membership.Suspect.String() {
				return newError(ExitRejected, "See `chicoryctl nodes` for the known hosts.", "host %s is not alive", host)
			}
			hostClient := &nodeClient{addrs: []string{member.ControlAddr}, timeout: a.settings.Timeout}
			if _, err := hostClient.send(cmd.Context(), core.OperatorRequest{Drain: &core.DrainRequest{}}); err != nil {
				return err
			}
			result := hostResult{host, "draining"}
			return a.print(cmd, &result, result.writeText)
		}),
	}
}

// completeHosts completes host names for the shell.
func (a *app) completeHosts(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 || a.loadSettings() != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	list, err := a.members(cmd.Context())
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	names := []string{}
	for _, row := range list {
		names = append(names, string(row.Host))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}
