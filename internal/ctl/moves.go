package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
)

func (a *app) movesCommand() *cobra.Command {
	return newCommandGroup("moves", "Moves traffic to new versions of backend servers",
		a.startMoveCommand(), a.listMovesCommand(), a.withdrawCommand())
}

// moveRow is one row of the output of `moves list`.
type moveRow struct {
	Move     mesh.MoveID         `json:"move"`
	Service  mesh.Service        `json:"service"`
	From     mesh.BackendVersion `json:"from"`
	To       mesh.BackendVersion `json:"to"`
	Started  time.Time           `json:"started"`
	Deadline time.Time           `json:"deadline"`
	// State is running, done or withdrawn.
	State string `json:"state"`
	// Share is the fraction of the calls that the new version receives, 0 to 1.
	Share float64 `json:"share"`
	// Reason tells why the move was withdrawn or why its deadline is at risk.
	// Route is the route on which the cause was found, empty if it was found over
	// all routes.
	Reason string     `json:"reason,omitempty"`
	Route  mesh.Route `json:"route,omitempty"`
}

func moveRowOf(s *moves.MoveState) moveRow {
	row := moveRow{
		Move: s.ID, Service: s.Service, From: s.From, To: s.To, State: s.State.String(),
		Started: utcTime(s.Started), Deadline: utcTime(s.Deadline), Share: float64(s.Share) / float64(moves.FullShare),
	}
	switch {
	case s.Cause != moves.CauseNone:
		row.Reason, row.Route = s.Cause.String(), s.CauseRoute
	case s.Early != moves.CauseNone:
		row.Reason, row.Route = "deadline at risk: "+s.Early.String(), s.EarlyRoute
	}
	return row
}

func utcTime(t mesh.Time) time.Time { return time.Unix(0, int64(t)).UTC() }

func (a *app) listMovesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Lists the moves with their states and reasons",
		Args:  exactArgs(),
		RunE: a.runWithSettings(func(cmd *cobra.Command, _ []string) error {
			reply, err := a.client.send(cmd.Context(), core.OperatorRequest{Moves: &core.MovesRequest{}})
			if err != nil {
				return err
			}
			rows := []moveRow{}
			for i := range reply.Moves {
				rows = append(rows, moveRowOf(&reply.Moves[i]))
			}
			return a.print(cmd, rows, func(w io.Writer) error { return writeMoves(w, rows) })
		}),
	}
}

func writeMoves(w io.Writer, rows []moveRow) error {
	lines := [][]string{{"MOVE", "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "REASON"}}
	for _, r := range rows {
		reason := r.Reason
		if r.Route != "" {
			reason += " on route " + string(r.Route)
		}
		lines = append(lines, []string{string(r.Move), string(r.Service), string(r.From), string(r.To), r.State,
			fmt.Sprintf("%.2f%%", r.Share*100), r.Deadline.Format(time.RFC3339), reason})
	}
	return writeTable(w, lines)
}

// moveResult is the output of `moves start` and `moves withdraw`.
type moveResult struct {
	Move     mesh.MoveID `json:"move"`
	Result   string      `json:"result"`
	Deadline string      `json:"deadline,omitempty"`
}

func (r *moveResult) writeText(w io.Writer) error {
	line := fmt.Sprintf("move %s %s", r.Move, r.Result)
	if r.Deadline != "" {
		line += ", deadline " + r.Deadline
	}
	_, err := fmt.Fprintln(w, line)
	return err
}

// startMoveFlags are the flags of `moves start`.
type startMoveFlags struct {
	id, service, from, to, deadline string
}

func (a *app) startMoveCommand() *cobra.Command {
	var flags startMoveFlags
	cmd := &cobra.Command{
		Use:   "start --service SERVICE --from VERSION --to VERSION --deadline TIME",
		Short: "Moves a service to a new version by a deadline, or withdraws the version",
		Args:  exactArgs(),
		RunE: a.runWithSettings(func(cmd *cobra.Command, _ []string) error {
			return a.startMove(cmd, &flags)
		}),
	}
	cmd.Flags().StringVar(&flags.id, "id", "", "ID of the move; to retry a command safely, pass the same ID and the same deadline time (default: generated)")
	cmd.Flags().StringVar(&flags.service, "service", "", "service to move")
	cmd.Flags().StringVar(&flags.from, "from", "", "version that receives the calls now")
	cmd.Flags().StringVar(&flags.to, "to", "", "version that is to receive the calls")
	cmd.Flags().StringVar(&flags.deadline, "deadline", "", "duration from now such as 30m, or time such as 2026-11-02T18:00:00Z")
	return cmd
}

func (a *app) startMove(cmd *cobra.Command, flags *startMoveFlags) error {
	if flags.service == "" || flags.from == "" || flags.to == "" || flags.deadline == "" {
		return newUsageError("--service, --from, --to and --deadline are required")
	}
	deadline, err := parseDeadline(flags.deadline, time.Now())
	if err != nil {
		return err
	}
	if flags.id == "" {
		flags.id = flags.service + "-" + uuid.NewString()
	}
	reply, err := a.client.send(cmd.Context(), core.OperatorRequest{StartMove: &core.StartMoveRequest{
		Move: mesh.MoveID(flags.id), Service: mesh.Service(flags.service), From: mesh.BackendVersion(flags.from),
		To: mesh.BackendVersion(flags.to), Deadline: mesh.Time(deadline.UnixNano()),
	}})
	if err == nil {
		err = moveError(reply)
	}
	result := moveResult{Move: mesh.MoveID(flags.id), Result: "started", Deadline: deadline.UTC().Format(time.RFC3339Nano)}
	if exitCodeOf(err) == ExitUnsettled {
		return newError(ExitUnsettled, fmt.Sprintf("Repeat the command with --id %s --deadline %s.", result.Move, result.Deadline), "%v", err)
	}
	if err != nil {
		return err
	}
	return a.print(cmd, &result, result.writeText)
}

// parseDeadline parses a duration from now or a time in RFC 3339 format. It
// refuses a deadline that is not after now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		if d <= 0 {
			return time.Time{}, newUsageError("--deadline is %q, want a positive duration", text)
		}
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, newUsageError("--deadline is %q, want a duration such as 30m or a time such as 2026-11-02T18:00:00Z", text)
	}
	if !t.After(now) {
		return time.Time{}, newUsageError("--deadline %s is not in the future", text)
	}
	return t, nil
}

func (a *app) withdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw MOVE",
		Short: "Withdraws a running move; the old version receives all calls again",
		Args:  exactArgs("MOVE"),
		RunE: a.runWithSettings(func(cmd *cobra.Command, args []string) error {
			move := mesh.MoveID(args[0])
			reply, err := a.client.send(cmd.Context(), core.OperatorRequest{Withdraw: &core.WithdrawRequest{Move: move}})
			if err != nil {
				return err
			}
			if err := moveError(reply); err != nil {
				return err
			}
			result := moveResult{Move: move, Result: "withdrawn"}
			return a.print(cmd, &result, result.writeText)
		}),
	}
}
