package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"pipitgap/internal/drain"
	"pipitgap/internal/fixtures"
	"pipitgap/internal/operator"
	"pipitgap/internal/storage"
)

// captureStdout returns the text that a function writes to the standard output.
func captureStdout(t *testing.T, write func() error) string {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	defer func() { os.Stdout = stdout }()
	os.Stdout = writer
	out := make(chan []byte)
	go func() {
		text, _ := io.ReadAll(reader)
		out <- text
	}()
	err = write()
	_ = writer.Close()
	text := string(<-out)
	if err != nil {
		t.Fatalf("got error %v and output %q, want no error", err, text)
	}
	return text
}

// commandResults returns results of commands by the names of their JSON files. Results without a dash in the
// name have every field set.
func commandResults() map[string]any {
	const at = 1_764_687_600_123_456
	blocked := []drain.Blockage{{Drain: "rack-a-out", Machine: "i-000231", Task: "j-000017/5",
		Kind: drain.BlockedByBudget, Reason: "team wren: 3 of 4 replicas are available, 3 must stay"}}
	machines := []string{"i-000231", "i-000232"}
	plan := &drain.Plan{Machines: machines, Blocked: blocked, Steps: []drain.Step{{
		ScaleOut: []string{"m8 in rack-b"},
		Moves:    []drain.Move{{Task: "j-000017/5", Team: "wren", From: "i-000231", To: "i-000240"}},
		Stopped:  4, Emptied: []string{"i-000231"}}}}
	kinds := []drain.BlockKind{drain.BlockedByBudget, drain.BlockedByCapacity, drain.BlockedByStarting,
		drain.BlockedByCordon, drain.BlockedByPermits, drain.BlockedByController, drain.BlockedByDeadline}
	blockages := make([]drain.Blockage, 0, len(kinds))
	for _, kind := range kinds {
		blockages = append(blockages, drain.Blockage{Drain: "d-2", Machine: "i-000231", Kind: kind,
			Reason: "waits"})
	}
	teams := []drain.ScopeStatus{{Team: "wren", Class: "web", Budgeted: true, Desired: 6, Available: 5,
		MinAvailable: 4, ReserveMachines: 1, WorstLoss: 2}}
	return map[string]any{
		"start": operator.StartResult{
			Name:           "rack-a-out",
			AlreadyStarted: true,
			Machines:       machines,
			Plan:           plan,
		},
		"start-no-plan": operator.StartResult{Name: "rack-a-out", Machines: machines},
		"status": statusOutput{Drain: &drain.Progress{Name: "rack-a-out", State: storage.DrainActive,
			Reason: "resumed", Revision: 40_001,
			Machines: []drain.MachineProgress{{ID: "i-000231", State: "cordoned", Replicas: 2, ArrayTasks: 3,
				BeingEmptied: true}},
			Permits: 1, Blocked: blocked, StartedAt: at, EndedAt: at + 1}, Teams: teams},
		"status-ended": statusOutput{Drain: &drain.Progress{Name: "d-1", State: storage.DrainDone,
			Revision: 40_002, Machines: []drain.MachineProgress{}, StartedAt: at}},
		"status-blocked": statusOutput{Drain: &drain.Progress{Name: "d-2", State: storage.DrainActive,
			Revision: 40_003, Machines: []drain.MachineProgress{}, Blocked: blockages, StartedAt: at}, Teams: teams},
		"list": []operator.DrainSummary{{Name: "rack-a-out", State: storage.DrainPaused,
			Reason: "paused by an operator", Selection: "zone rack-a", MachinesLeft: 3}},
		"list-no-reason": []operator.DrainSummary{{Name: "d-1", State: storage.DrainDrained,
			Selection: "2 machines by name"}},
		"list-empty":    []operator.DrainSummary{},
		"budgets":       teams,
		"budgets-empty": []drain.ScopeStatus(nil),
		"moved":         stateChange{Name: "rack-a-out", State: "paused", Changed: true},
	}
}

// TestJSONOutput checks that the JSON output of each result matches the stored file, and that the file
// decodes to the same values.
func TestJSONOutput(t *testing.T) {
	for file, answer := range commandResults() {
		t.Run(file, func(t *testing.T) {
			flags := &operatorFlags{JSON: true}
			got := captureStdout(t, func() error { return flags.print(answer, nil) })
			want := fixtures.Text(t, "json/"+file+".json", got)
			fixtures.Equal(t, file, []byte(want), []byte(got))
			decoded := reflect.New(reflect.TypeOf(answer))
			decoder := json.NewDecoder(strings.NewReader(want))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded.Elem().Interface(), answer) {
				t.Errorf("got %+v decoded, want %+v", decoded.Elem(), answer)
			}
			if !strings.Contains(file, "-") { // the other results omit optional fields
				fixtures.AllSet(t, file, answer)
			}
			reencoded := captureStdout(t, func() error { return flags.print(decoded.Elem().Interface(), nil) })
			fixtures.Equal(t, file, []byte(want), []byte(reencoded))
		})
	}
}

// TestJSONIsOneValue checks that the output is a single JSON value followed by a line feed, as scripts
// expect.
func TestJSONIsOneValue(t *testing.T) {
	for file, answer := range commandResults() {
		got := captureStdout(t, func() error { return (&operatorFlags{JSON: true}).print(answer, nil) })
		var compact bytes.Buffer
		if err := json.Compact(&compact, []byte(got)); err != nil || !strings.HasSuffix(got, "\n") {
			t.Errorf("%s: got error %v for output %q, want one JSON value and a line feed", file, err, got)
		}
	}
}
