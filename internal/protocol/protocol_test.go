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
		{"whole amounts", map[string]any{"cores": 8, "guess_s": 0}, true},
		{"most tasks", map[string]any{"pips": 100000}, true},
		{"too many tasks", map[string]any{"pips": 100001}, false},
		{"no tasks", map[string]any{"pips": 0}, false},
		{"negative tasks", map[string]any{"pips": -1}, false},
		{"tasks beyond 64 bits", map[string]any{"pips": uint64(math.MaxUint64)}, false},
		{"tasks as an amount", map[string]any{"pips": 16.0}, false},
		{"not a number", map[string]any{"cores": math.NaN()}, false},
		{"infinite", map[string]any{"memory_gb": math.Inf(1)}, false},
		{"negative", map[string]any{"pull_gb": -0.5}, false},
		{"text for an amount", map[string]any{"cores": "8"}, false},
		{"null for an amount", map[string]any{"cores": nil}, false},
		{"number for a flag", map[string]any{"apart": 0}, false},
		{"unknown shape", map[string]any{"shape": "gang"}, false},
		{"unknown rank", map[string]any{"rank": "low"}, false},
		{"id of another form", map[string]any{"id": "000412"}, false},
		{"id with a slash", map[string]any{"id": "j-1/2"}, false},
		{"endless id", map[string]any{"id": "j-" + strings.Repeat("0", 200)}, false},
		{"types not a list", map[string]any{"breeds": "g8"}, false},
		{"types not names", map[string]any{"breeds": []any{8}}, false},
	}
	for _, tc := range cases {
		values := validSubmission()
		for k, v := range tc.set {
			values[k] = v
		}
		submission, err := ParseSubmission(MustMarshal(values))
		if (err == nil) != tc.ok {
			t.Errorf("%s: %v", tc.name, err)
		}
		if tc.ok && (submission.ID != "j-000412" || submission.Priority != High || submission.Service) {
			t.Errorf("%s: %+v", tc.name, submission)
		}
	}
	for k := range validSubmission() {
		values := validSubmission()
		delete(values, k)
		may := map[string]bool{"breeds": true, "grove": true, "due_s": true, "new_field": true}[k]
		if _, err := ParseSubmission(MustMarshal(values)); (err == nil) != may {
			t.Errorf("without %s: %v", k, err)
		}
	}
}

func TestCheckShapeRejectsMalformed(t *testing.T) {
	cases := []struct {
		name string
		in   []byte
		ok   bool
	}{
		{"nothing", nil, false},
		{"map", MustMarshal(validSubmission()), true},
		{"two values", []byte{0xc0, 0xc0}, false},
		{"list that claims four thousand million", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, false},
		{"map that claims too much", []byte{0xdf, 0x7f, 0xff, 0xff, 0xff, 0xc0}, false},
		{"text cut off", []byte{0xa5, 'a'}, false},
		{"nested too deep", []byte(strings.Repeat("\x91", 64) + "\xc0"), false},
		{"binary data", []byte{0xc4, 1, 0}, false},
		{"extension", []byte{0xd4, 0, 0}, false},
		{"number cut off", []byte{0xcb, 0, 0}, false},
	}
	for _, tc := range cases {
		if err := CheckShape(tc.in); (err == nil) != tc.ok {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}

// FuzzSubmission: whatever comes, the decoder answers without a crash, and what
// it accepts is within the protocol's bounds.
func FuzzSubmission(f *testing.F) {
	f.Add(MustMarshal(validSubmission()))
	f.Add([]byte{0x81, 0xa2, 'i', 'd', 0x01})
	f.Add([]byte{0x81, 0xc0, 0xc0})
	f.Fuzz(func(t *testing.T, in []byte) {
		submission, err := ParseSubmission(in)
		if err == nil && (submission.Tasks < 1 || submission.Tasks > MaxTasks ||
			submission.CPUs < 0 || math.IsNaN(submission.CPUs) || !ValidJobID(submission.ID)) {
			t.Fatalf("accepted %+v", submission)
		}
		var r Heartbeat
		if Unmarshal(in, &r) == nil && r.Valid() && r.Machine == "" {
			t.Fatal("a report without a machine")
		}
	})
}

// TestSubmissionEncoding: a submission is read back as it was written, with every field set and with none of
// the optional ones, and its fields are just those that are documented.
func TestSubmissionEncoding(t *testing.T) {
	full := Submission{
		ID: "j-000412", Class: "train", Team: "vision", Service: true, Priority: High, Tasks: 16, CPUs: 8, GPUs: 1,
		MemoryGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spread: true,
		Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: 900,
	}
	least := Submission{ID: "j-1", Class: "train", Team: "vision", Tasks: 1, Image: "img-07"}
	documented := validSubmission()
	delete(documented, "new_field")
	for _, want := range []Submission{full, least} {
		got, err := ParseSubmission(MustMarshal(&want))
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%+v is read back as %+v, %v", want, got, err)
		}
		fields := want.Fields()
		for name := range documented {
			if _, ok := fields[name]; !ok {
				t.Errorf("no field %s", name)
			}
		}
		if len(fields) != len(documented) {
			t.Errorf("%d fields, want %d", len(fields), len(documented))
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
			t.Errorf("%s: %q %v %v", tc.path, id, cancel, ok)
		}
	}
}

// TestPaths: what the paths of the state service are made of is read back, and nothing else.
func TestPaths(t *testing.T) {
	if key, ok := ParseKeyPath(KeyPath("a/b")); !ok || key != "a/b" {
		t.Errorf("key %q, %v", key, ok)
	}
	if lease, ok := ParseKeepAlivePath(KeepAlivePath(42)); !ok || lease != "42" {
		t.Errorf("lease %q, %v", lease, ok)
	}
	for _, path := range []string{"", KeysPath, LeasesPath, LeasesPath + "/42", CommitPath, WatchPath} {
		if key, ok := ParseKeyPath(path); ok {
			t.Errorf("%s is the path of the key %q", path, key)
		}
		if lease, ok := ParseKeepAlivePath(path); ok {
			t.Errorf("%s renews the lease %q", path, lease)
		}
	}
}

// TestCheckShapeNesting: nesting up to the bound, and no deeper.
func TestCheckShapeNesting(t *testing.T) {
	nested := func(levels int) []byte {
		message := bytes.Repeat([]byte{0x91}, levels) // lists of one value
		return append(message, nilValue)
	}
	if err := CheckShape(nested(maxNesting - 1)); err != nil {
		t.Errorf("at the bound: %v", err)
	}
	if err := CheckShape(nested(maxNesting)); err == nil {
		t.Error("beyond the bound: no error")
	}
}
