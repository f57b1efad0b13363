package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// statusResult is the output of `status`. Host is the host that answered.
// core.Status describes the fields.
type statusResult struct {
	Host       mesh.HostID        `json:"host"`
	Head       mesh.ConfigVersion `json:"head"`
	Applied    mesh.ConfigVersion `json:"applied"`
	Hash       string             `json:"hash"`
	FloorKnown bool               `json:"floor_known"`
	InForce    *inForceStatus     `json:"in_force"`
	Rejections []rejection        `json:"rejections"`
	Counters   core.Counters      `json:"counters"`
}

// rejection describes a version that hosts refused: the number of hosts, one of
// them and its reason.
type rejection struct {
	Version mesh.ConfigVersion `json:"version"`
	Hosts   uint32             `json:"hosts"`
	Host    mesh.HostID        `json:"host"`
	Reason  string             `json:"reason"`
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Shows the current version and where it is in force",
		Args:  exactArgs(),
		RunE: a.runWithSettings(func(cmd *cobra.Command, _ []string) error {
			status, err := a.readerStatus(cmd.Context())
			if err != nil {
				return err
			}
			result := statusResult{
				Host: status.Host, Head: status.Head.Version, Applied: status.Applied.Version, Hash: status.Applied.Hash,
				FloorKnown: status.FloorKnown, InForce: inForceOf(status), Rejections: []rejection{}, Counters: status.Counters,
			}
			for _, r := range status.Rejections {
				result.Rejections = append(result.Rejections, rejection{r.Version, r.Hosts, r.Host, r.Reason})
			}
			return a.print(cmd, &result, result.writeText)
		}),
	}
}

func (s *statusResult) writeText(w io.Writer) error {
	rows := [][]string{
		{"answered by", string(s.Host)},
		{"current version", s.Head.String()},
		{"applied here", s.Applied.String() + " " + s.Hash},
		{"floor known", strconv.FormatBool(s.FloorKnown)},
		{"in force", s.InForce.String()},
		{"calls", fmt.Sprintf("%d: %d answered, %d not run, %d may have run", s.Counters.Calls, s.Counters.Answered, s.Counters.NotRun, s.Counters.MayHaveRun)},
	}
	for _, r := range s.Rejections {
		rows = append(rows, []string{"rejected", fmt.Sprintf("%v by %d hosts such as %s: %s", r.Version, r.Hosts, r.Host, r.Reason)})
	}
	return writeTable(w, rows)
}

// readerStatus returns the status of a reader, a node that reads the platform
// itself, or of any node if no reader answers. Only readers have complete counts
// of the hosts on which a version is in force.
func (a *app) readerStatus(ctx context.Context) (*core.Status, error) {
	request := core.OperatorRequest{Status: &core.StatusRequest{}}
	reply, err := a.client.send(ctx, request)
	if err != nil {
		return nil, err
	}
	status := reply.Status
	members, err := a.members(ctx)
	if err != nil {
		return status, nil
	}
	for _, reader := range status.Readers {
		if reader == status.Host {
			return status, nil
		}
		if member, ok := members.find(reader); ok {
			readerClient := &nodeClient{addrs: []string{member.ControlAddr}, timeout: a.settings.Timeout}
			if reply, err := readerClient.send(ctx, request); err == nil {
				return reply.Status, nil
			}
		}
	}
	return status, nil
}

func (a *app) readInForce(ctx context.Context) (*inForceStatus, error) {
	status, err := a.readerStatus(ctx)
	if err != nil {
		return nil, err
	}
	return inForceOf(status), nil
}

func inForceOf(s *core.Status) *inForceStatus {
	f := &inForceStatus{Version: s.InForce.Version, Hosts: s.InForce.InForce, Total: s.InForce.Total, Missing: []mesh.HostID{}}
	for _, host := range s.InForce.Missing {
		// An empty name stands for a subtree that has not reported yet: its hosts
		// are counted, but none of them is named.
		if host != "" {
			f.Missing = append(f.Missing, host)
		}
	}
	if s.InForce.Rejection != nil {
		f.Rejection = s.InForce.Rejection.Reason
	}
	return f
}

// classRow is one row of the output of `classes`.
type classRow struct {
	config.Class
	Priority string       `json:"priority"`
	Routes   []mesh.Route `json:"routes"`
}

func (a *app) classesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "classes",
		Short: "Lists the classes of the configuration in force with their targets and routes",
		Args:  exactArgs(),
		RunE: a.runWithSettings(func(cmd *cobra.Command, _ []string) error {
			_, snapshot, err := a.configInForce(cmd)
			if err != nil {
				return err
			}
			rows := classRows(snapshot)
			return a.print(cmd, rows, func(w io.Writer) error { return writeClasses(w, rows) })
		}),
	}
}

func classRows(s *config.Snapshot) []classRow {
	rows := []classRow{}
	for _, class := range s.Classes {
		row := classRow{Class: class, Priority: class.Priority.String(), Routes: []mesh.Route{}}
		for _, route := range s.Routes {
			if route.Class == class.Name {
				row.Routes = append(row.Routes, route.Name)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func writeClasses(w io.Writer, rows []classRow) error {
	lines := [][]string{{"CLASS", "PRIORITY", "IDEMPOTENT", "DEADLINE", "P99 TARGET", "SUCCESS TARGET", "RETRY BUDGET", "ROUTES"}}
	for _, r := range rows {
		lines = append(lines, []string{
			string(r.Name), r.Priority, strconv.FormatBool(r.Idempotent),
			fmt.Sprintf("%d ms", r.DeadlineMillis), fmt.Sprintf("%d ms", r.TargetLatencyMillis),
			fmt.Sprint(r.TargetSuccessShare), fmt.Sprint(r.RetryBudgetShare), fmt.Sprint(r.Routes),
		})
	}
	return writeTable(w, lines)
}
