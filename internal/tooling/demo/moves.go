package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// States of a move in the output of chicoryctl.
const (
	stateRunning   = "running"
	stateDone      = "done"
	stateWithdrawn = "withdrawn"
)

// movePollInterval is the time between two reads of the list of moves.
const movePollInterval = 250 * time.Millisecond

// moveRow holds what the demo reads from `chicoryctl moves list`.
type moveRow struct {
	Move   mesh.MoveID `json:"move"`
	State  string      `json:"state"`
	Reason string      `json:"reason"`
}

// moveResults counts how the moves ended.
type moveResults struct{ done, withdrawn int }

func (d *demo) startMoves(ctx context.Context) error {
	commands := [][]string{
		{"--id", string(goodMove), "--service", "roof-works", "--from", string(roofOld), "--to", string(roofNew), "--deadline", goodDeadline.String()},
		{"--id", string(badMove), "--service", "depot", "--from", string(depotOld), "--to", string(depotBad), "--deadline", badDeadline.String()},
	}
	for _, args := range commands {
		result, err := d.deployment.RunCtl(ctx, append([]string{"moves", "start"}, args...)...)
		if err != nil {
			return err
		}
		if result.ExitCode != ctl.ExitOK {
			return fmt.Errorf("start move %s: exit code %d: %s", args[1], result.ExitCode, result.Stderr)
		}
		d.printProgress("started move %s", args[1])
	}
	return nil
}

// awaitMoves waits until both moves have ended and checks their final states.
func (d *demo) awaitMoves(ctx context.Context) error {
	ticker := time.NewTicker(movePollInterval)
	defer ticker.Stop()
	for {
		rows, err := listMoves(ctx, d.deployment)
		if err != nil {
			return err
		}
		if allEnded(rows) {
			d.recordMoves(rows)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the moves have not ended: %v", rows)
		case <-ticker.C:
		}
	}
}

func listMoves(ctx context.Context, deployment *deploy.Deployment) ([]moveRow, error) {
	result, err := deployment.RunCtl(ctx, "moves", "list")
	if err != nil {
		return nil, err
	}
	if result.ExitCode != ctl.ExitOK {
		return nil, fmt.Errorf("list the moves: exit code %d: %s", result.ExitCode, result.Stderr)
	}
	var rows []moveRow
	return rows, json.Unmarshal(result.Stdout, &rows)
}

func allEnded(rows []moveRow) bool {
	for _, row := range rows {
		if row.State == stateRunning {
			return false
		}
	}
	return len(rows) == 2
}

func (d *demo) recordMoves(rows []moveRow) {
	want := map[mesh.MoveID]string{goodMove: stateDone, badMove: stateWithdrawn}
	for _, row := range rows {
		d.printProgress("move %s is %s %s", row.Move, row.State, row.Reason)
		switch row.State {
		case stateDone:
			d.moves.done++
		case stateWithdrawn:
			d.moves.withdrawn++
		}
		if row.State != want[row.Move] {
			d.failures.add("move %s is %s (%s), want %s", row.Move, row.State, row.Reason, want[row.Move])
		}
	}
}
