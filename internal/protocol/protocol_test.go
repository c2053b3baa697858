package protocol

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"
)

func validSubmission() map[string]any {
	return map[string]any{
		"id": "j-000412", "lane": "train", "crew": "vision", "shape": "sweep", "rank": "high", "pips": 16,
		"cores": 8.0, "accelerators": 1, "memory_gb": 64.0, "plumage": "img-07", "pull_gb": 6.2,
		"breeds": []any{"g8"}, "grove": nil, "one_zone": true, "apart": false, "borrowed": true,
		"guess_s": 240.0, "perch_s": 30.0, "stash_s": 4.0, "due_s": 900.0, "new_field": []any{1, "x"},
	}
}

func TestParseSubmission(t *testing.T) {
	cases := []struct {
		name string
		set  map[string]any
		ok   bool
	}{
		{"as documented", nil, true},
		{"nulls", map[string]any{"breeds": nil, "due_s": nil, "grove": nil}, true},
		{"integers for float fields", map[string]any{"cores": 8, "guess_s": 0}, true},
		{"maximum number of tasks", map[string]any{"pips": 100000}, true},
		{"too many tasks", map[string]any{"pips": 100001}, false},
		{"no tasks", map[string]any{"pips": 0}, false},
		{"negative tasks", map[string]any{"pips": -1}, false},
		{"number of tasks above int64", map[string]any{"pips": uint64(math.MaxUint64)}, false},
		{"number of tasks as a float", map[string]any{"pips": 16.0}, false},
		{"NaN", map[string]any{"cores": math.NaN()}, false},
		{"infinity", map[string]any{"memory_gb": math.Inf(1)}, false},
		{"negative number", map[string]any{"pull_gb": -0.5}, false},
		{"string for a number", map[string]any{"cores": "8"}, false},
		{"null for a number", map[string]any{"cores": nil}, false},
		{"number for a boolean", map[string]any{"apart": 0}, false},
		{"unknown shape", map[string]any{"shape": "gang"}, false},
		{"unknown rank", map[string]any{"rank": "low"}, false},
		{"id without prefix", map[string]any{"id": "000412"}, false},
		{"id with a slash", map[string]any{"id": "j-1/2"}, false},
		{"id too long", map[string]any{"id": "j-" + strings.Repeat("0", 200)}, false},
		{"types not a list", map[string]any{"breeds": "g8"}, false},
		{"types not strings", map[string]any{"breeds": []any{8}}, false},
	}
	for _, tc := range cases {
		values := validSubmission()
		for k, v := range tc.set {
			values[k] = v
		}
		submission, err := ParseSubmission(MustMarshal(values))
		if (err == nil) != tc.ok {
			t.Errorf("%s: got error %v, want accepted %v", tc.name, err, tc.ok)
		}
		if tc.ok && (submission.ID != "j-000412" || submission.Priority != High || submission.Service) {
			t.Errorf("%s: got %+v, want ID j-000412, priority %d and no service", tc.name, submission, High)
		}
	}
	for k := range validSubmission() {
		values := validSubmission()
		delete(values, k)
		optional := map[string]bool{"breeds": true, "grove": true, "due_s": true, "new_field": true}[k]
		if _, err := ParseSubmission(MustMarshal(values)); (err == nil) != optional {
			t.Errorf("field %s missing: got error %v, want accepted %v", k, err, optional)
		}
	}
}

func TestCheckWellFormedRejectsMalformed(t *testing.T) {
	cases := []struct {
		name string
		in   []byte
		ok   bool
	}{
		{"empty input", nil, false},
		{"map", MustMarshal(validSubmission()), true},
		{"two values", []byte{0xc0, 0xc0}, false},
		{"list that announces 2^32-1 elements", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, false},
		{"map that announces too many entries", []byte{0xdf, 0x7f, 0xff, 0xff, 0xff, 0xc0}, false},
		{"truncated string", []byte{0xa5, 'a'}, false},
		{"nested too deeply", []byte(strings.Repeat("\x91", 64) + "\xc0"), false},
		{"binary data", []byte{0xc4, 1, 0}, false},
		{"extension", []byte{0xd4, 0, 0}, false},
		{"truncated number", []byte{0xcb, 0, 0}, false},
	}
	for _, tc := range cases {
		if err := CheckWellFormed(tc.in); (err == nil) != tc.ok {
			t.Errorf("%s: got error %v, want accepted %v", tc.name, err, tc.ok)
		}
	}
}

// FuzzSubmission checks for any input that the decoder doesn't panic and that an accepted submission or
// heartbeat is within the protocol's bounds.
func FuzzSubmission(f *testing.F) {
	f.Add(MustMarshal(validSubmission()))
	f.Add([]byte{0x81, 0xa2, 'i', 'd', 0x01})
	f.Add([]byte{0x81, 0xc0, 0xc0})
	f.Fuzz(func(t *testing.T, in []byte) {
		submission, err := ParseSubmission(in)
		if err == nil && (submission.Tasks < 1 || submission.Tasks > MaxTasks ||
			submission.CPUs < 0 || math.IsNaN(submission.CPUs) || !ValidJobID(submission.ID)) {
			t.Fatalf("got accepted submission %+v, want a rejection", submission)
		}
		var r Heartbeat
		if Unmarshal(in, &r) == nil && r.Valid() && r.Machine == "" {
			t.Fatal("got an accepted heartbeat without a machine, want a rejection")
		}
	})
}

// TestSubmissionEncoding encodes a submission with all fields set and one without the optional fields.
// Decoding must return the same submission, and the encoded fields must be exactly the documented ones.
func TestSubmissionEncoding(t *testing.T) {
	full := Submission{
		ID: "j-000412", Class: "train", Team: "vision", Service: true, Priority: High, Tasks: 16, CPUs: 8, GPUs: 1,
		MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spread: true,
		Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: 900,
	}
	minimal := Submission{ID: "j-1", Class: "train", Team: "vision", Tasks: 1, Image: "img-07"}
	documented := validSubmission()
	delete(documented, "new_field")
	for _, want := range []Submission{full, minimal} {
		got, err := ParseSubmission(MustMarshal(&want))
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("got %+v, error %v after encoding and decoding, want %+v", got, err, want)
		}
		fields := want.Fields()
		for name := range documented {
			if _, ok := fields[name]; !ok {
				t.Errorf("got no field %s, want every documented field", name)
			}
		}
		if len(fields) != len(documented) {
			t.Errorf("got %d fields, want %d", len(fields), len(documented))
		}
	}
}

func TestJobPaths(t *testing.T) {
	cases := []struct {
		path, id   string
		cancel, ok bool
	}{
		{JobPath("j-1"), "j-1", false, true},
		{CancelPath("j-1"), "j-1", true, true},
		{"/v2/runs/j-1", "j-1", false, true},
		{"/v2/runs/j-1/abort", "j-1", true, true},
		{"/v2/runs/j-1/x", "j-1/x", false, true},
		{"/v2/runs", "", false, false},
		{"/checkin", "", false, false},
	}
	for _, tc := range cases {
		id, cancel, ok := ParseJobPath(tc.path)
		if id != tc.id || cancel != tc.cancel || ok != tc.ok {
			t.Errorf("%s: got id %q, cancel %v, ok %v, want id %q, cancel %v, ok %v",
				tc.path, id, cancel, ok, tc.id, tc.cancel, tc.ok)
		}
	}
}

// TestStateServicePaths checks that the parsers return the key and the lease that the state service's paths
// were built from, and reject all other paths.
func TestStateServicePaths(t *testing.T) {
	if key, ok := ParseKeyPath(KeyPath("a/b")); !ok || key != "a/b" {
		t.Errorf("got key %q, ok %v, want a/b, true", key, ok)
	}
	if lease, ok := ParseKeepAlivePath(KeepAlivePath(42)); !ok || lease != "42" {
		t.Errorf("got lease %q, ok %v, want 42, true", lease, ok)
	}
	for _, path := range []string{"", KeysPath, LeasesPath, LeasesPath + "/42", CommitPath, WatchPath} {
		if key, ok := ParseKeyPath(path); ok {
			t.Errorf("%s: got key %q, want a rejected path", path, key)
		}
		if lease, ok := ParseKeepAlivePath(path); ok {
			t.Errorf("%s: got lease %q, want a rejected path", path, lease)
		}
	}
}

// TestCheckWellFormedNesting checks that a message at the nesting limit is accepted and one level more is
// rejected.
func TestCheckWellFormedNesting(t *testing.T) {
	nested := func(levels int) []byte {
		message := bytes.Repeat([]byte{0x91}, levels) // lists of one element
		return append(message, nilValue)
	}
	if err := CheckWellFormed(nested(maxNesting - 1)); err != nil {
		t.Errorf("nesting at the limit: got error %v, want none", err)
	}
	if err := CheckWellFormed(nested(maxNesting)); err == nil {
		t.Error("nesting above the limit: got no error, want one")
	}
}
