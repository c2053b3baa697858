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

// print writes an answer as JSON, or by the function that prints it as text.
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

// printStarted says what a start has done, or with a plan what it would do.
func printStarted(w io.Writer, started *operator.StartResult) {
	switch {
	case started.Plan != nil:
		printPlan(w, started)
	case started.AlreadyStarted:
		fmt.Fprintf(w, "drain %s was started before by the same request; %d machines are left\n",
			started.Name, len(started.Machines))
	default:
		fmt.Fprintf(w, "drain %s of %d machines is started\n", started.Name, len(started.Machines))
	}
}

// printPlan lists the steps of a plan.
func printPlan(w io.Writer, started *operator.StartResult) {
	fmt.Fprintf(w, "drain %s would take %d machines out of service in %d steps; nothing is changed\n",
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
			fmt.Fprintf(w, "  give back\t%s\n", id)
		}
		if step.Stopped > 0 {
			fmt.Fprintf(w, "  stop\t%d array tasks that haven't ended by then\n", step.Stopped)
		}
	}
	printBlocked(w, started.Plan.Blocked)
}

// printBlocked lists what a drain waits for.
func printBlocked(w io.Writer, blocked []drain.Blockage) {
	for _, b := range blocked {
		fmt.Fprintf(w, "waits for %s:\t%s\t%s\t%s\n", b.Kind, b.Machine, b.Task, b.Reason)
	}
}

// statusOutput is what status prints.
type statusOutput struct {
	Drain *drain.Progress    `json:"drain"`
	Teams []drain.TeamStatus `json:"teams"`
}

// printTeams lists how the teams stand against their budgets.
func printTeams(w io.Writer, teams []drain.TeamStatus) {
	for _, t := range teams {
		fmt.Fprintf(
			w,
			"team %s\t%s\t%d of %d available\t%d must stay\t%d on its %d fullest machines (reserve)\n",
			t.Team, t.Class, t.Available, t.Desired, t.MinAvailable, t.WorstLoss, t.ReserveMachines,
		)
	}
}

// stepLabel marks a machine of a step that is under way.
func stepLabel(step bool) string {
	if step {
		return "being emptied"
	}
	return ""
}

// stateChange answers a command that changes a drain's state.
type stateChange struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Changed bool   `json:"changed"`
}

// printStateChange says what a command has changed.
func (f *operatorFlags) printStateChange(m stateChange) error {
	return f.print(m, func(w io.Writer) {
		if m.Changed {
			fmt.Fprintf(w, "drain %s is %s\n", m.Name, m.State)
		} else {
			fmt.Fprintf(w, "drain %s was %s already\n", m.Name, m.State)
		}
	})
}

// printStatus says where a drain stands.
func printStatus(w io.Writer, progress *drain.Progress, teams []drain.TeamStatus) {
	fmt.Fprintf(w, "drain %s is %s", progress.Name, progress.State)
	if progress.Reason != "" {
		fmt.Fprintf(w, " (%s)", progress.Reason)
	}
	fmt.Fprintf(w, "; %d machines left, %d moves under way, at revision %d\n",
		len(progress.Machines), progress.Permits, progress.Revision)
	for _, m := range progress.Machines {
		fmt.Fprintf(w, "%s\t%s\t%d replicas\t%d array tasks\t%s\n",
			m.ID, m.State, m.Replicas, m.ArrayTasks, stepLabel(m.BeingEmptied))
	}
	printBlocked(w, progress.Blocked)
	printTeams(w, teams)
}

// printList lists drains, a line each.
func printList(w io.Writer, list []operator.DrainSummary) {
	for _, d := range list {
		fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%d machines left\t%s\n",
			d.Name, d.State, d.Selection, d.MachinesLeft, d.Reason,
		)
	}
}
