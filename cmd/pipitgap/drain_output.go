package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"pipitgap/internal/drain"
	"pipitgap/internal/operator"
)

// print writes the result of a command to the standard output: as JSON with --json, else by printText in
// aligned columns.
func (f *operatorFlags) print(answer any, printText func(io.Writer)) error {
	if !f.JSON {
		out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		printText(out)
		return out.Flush()
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(answer)
}

// printStarted prints the result of a start, or the plan of a dry run.
func printStarted(w io.Writer, started *operator.StartResult) {
	switch {
	case started.Plan != nil:
		printPlan(w, started)
	case started.AlreadyStarted:
		fmt.Fprintf(w, "drain %s was already started by the same request; %d machines are left\n",
			started.Name, len(started.Machines))
	default:
		fmt.Fprintf(w, "started drain %s of %d machines\n", started.Name, len(started.Machines))
	}
}

// printPlan prints the steps of a plan.
func printPlan(w io.Writer, started *operator.StartResult) {
	fmt.Fprintf(w, "drain %s would take %d machines out of service in %d steps; nothing was changed\n",
		started.Name, len(started.Machines), len(started.Plan.Steps))
	for i, step := range started.Plan.Steps {
		fmt.Fprintf(w, "step %d:\n", i+1)
		for _, offer := range step.ScaleOut {
			fmt.Fprintf(w, "  rent\t%s\n", offer)
		}
		for _, move := range step.Moves {
			fmt.Fprintf(w, "  move\t%s\tof %s\tfrom %s\tto %s\n", move.Task, move.Team, move.From, move.To)
		}
		for _, id := range step.Emptied {
			fmt.Fprintf(w, "  delete\t%s\n", id)
		}
		if step.Stopped > 0 {
			fmt.Fprintf(w, "  stop\t%d array tasks, unless they have ended\n", step.Stopped)
		}
	}
	printBlocked(w, started.Plan.Blocked)
}

// printBlocked prints what a drain waits for.
func printBlocked(w io.Writer, blocked []drain.Blockage) {
	for _, b := range blocked {
		fmt.Fprintf(w, "waits for %s:\t%s\t%s\t%s\n", b.Kind, b.Machine, b.Task, b.Reason)
	}
}

// statusOutput is the JSON output of the status command.
type statusOutput struct {
	Drain *drain.Progress     `json:"drain"`
	Teams []drain.ScopeStatus `json:"teams"`
}

// printTeams prints the availability of the teams' services and their budgets.
func printTeams(w io.Writer, teams []drain.ScopeStatus) {
	for _, t := range teams {
		fmt.Fprintf(
			w,
			"team %s\t%s\t%d of %d available\t%d must stay available\t%d on its %d fullest machines (reserve)\n",
			t.Team, t.Class, t.Available, t.Desired, t.MinAvailable, t.WorstLoss, t.ReserveMachines,
		)
	}
}

// stepLabel returns a label for a machine of the step in progress.
func stepLabel(step bool) string {
	if step {
		return "being emptied"
	}
	return ""
}

// stateChange is the JSON output of a command that changes a drain's state.
type stateChange struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Changed bool   `json:"changed"`
}

// printStateChange prints the state of a drain and whether the command changed it.
func (f *operatorFlags) printStateChange(m stateChange) error {
	return f.print(m, func(w io.Writer) {
		if m.Changed {
			fmt.Fprintf(w, "drain %s is %s\n", m.Name, m.State)
		} else {
			fmt.Fprintf(w, "drain %s was already %s\n", m.Name, m.State)
		}
	})
}

// printStatus prints the progress of a drain and the availability of the teams' services.
func printStatus(w io.Writer, progress *drain.Progress, teams []drain.ScopeStatus) {
	fmt.Fprintf(w, "drain %s is %s", progress.Name, progress.State)
	if progress.Reason != "" {
		fmt.Fprintf(w, " (%s)", progress.Reason)
	}
	fmt.Fprintf(w, "; %d machines left, %d moves in progress, at revision %d\n",
		len(progress.Machines), progress.Permits, progress.Revision)
	for _, m := range progress.Machines {
		fmt.Fprintf(w, "%s\t%s\t%d replicas\t%d array tasks\t%s\n",
			m.ID, m.State, m.Replicas, m.ArrayTasks, stepLabel(m.BeingEmptied))
	}
	printBlocked(w, progress.Blocked)
	printTeams(w, teams)
}

// printList prints one line per drain.
func printList(w io.Writer, list []operator.DrainSummary) {
	for _, d := range list {
		fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%d machines left\t%s\n",
			d.Name, d.State, d.Selection, d.MachinesLeft, d.Reason,
		)
	}
}
