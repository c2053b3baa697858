package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pipitgap/internal/monotime"
)

const validConfig = `
node = "n-0"
area = "a"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
later = "unknown fields are ignored"
[[known]]
node = "n-1"
area = "b"
addr = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["a", "b"]
skew_ms = 10.0
[[facts.teams]]
name = "t"
cpus_max = 10.0
[facts.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 32.0
[facts.state]
rps = 200.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 12
[facts.cloud]
rps = 6.0
list_lag_s = 3.0
[facts.quota]
cores = 0.3
memory_mb = 100.0
max_connections = 500
`

func writeFile(t *testing.T, text string) string {
	p := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestLoadNamesWrongField(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"valid", "", "", ""},
		{"no node", `node = "n-0"`, "", "node"},
		{"host name instead of an IP address", "10.0.0.1:8080", "localhost:8080", "public_addr"},
		{"no port", "10.2.0.1:2379", "10.2.0.1", "external.state"},
		{"peer with this controller's name", `node = "n-1"`, `node = "n-0"`, "known[0].node"},
		{"no rate", "write_rps = 50.0", "", "facts.state.write_rps"},
		{"negative rate", "rps = 6.0", "rps = -6.0", "facts.cloud.rps"},
		{"NaN", "lease_s = 12.0", "lease_s = nan", "facts.workers.lease_s"},
		{"lease too short", "lease_s = 12.0", "lease_s = 3.0", "facts.workers.lease_s"},
		{"team without a name", `name = "t"`, "", "facts.teams[0].name"},
		{"negative limit", "cpus_max = 10.0", "cpus_max = -1.0", "facts.teams[0]"},
		{"too few operations per transaction", "txn_ops = 12", "txn_ops = 2", "facts.state.txn_ops"},
		{"no area", `area = "a"`, "", "area"},
		{
			"too few connections",
			"max_connections = 500",
			"max_connections = 63",
			"facts.quota.max_connections",
		},
		{"maximum value size too small", "value_kb = 4.0", "value_kb = 0.5", "facts.state.value_kb"},
		{"negative list lag", "list_lag_s = 3.0", "list_lag_s = -3.0", "facts.cloud.list_lag_s"},
		{
			"two errors, the first one is reported",
			"rps = 6.0\nlist_lag_s = 3.0",
			"rps = 0.0\nlist_lag_s = -3.0",
			"facts.cloud.rps",
		},
		{"wrong type", "txn_ops = 12", `txn_ops = "many"`, "txn_ops"},
		{"not TOML", `node = "n-0"`, "node = ", "settings"},
	}
	for _, tc := range cases {
		_, err := Load(writeFile(t, strings.Replace(validConfig, tc.old, tc.new, 1)))
		if tc.field == "" && err != nil ||
			tc.field != "" && (err == nil || !strings.Contains(err.Error(), tc.field)) {
			t.Errorf("%s: got error %v, want %q in it (empty: no error)", tc.name, err, tc.field)
		}
	}
}

func TestLoadSettings(t *testing.T) {
	cases := []struct {
		name, text string
		ok         bool
		delay      monotime.Micros
	}{
		{"empty file", "", true, 5 * monotime.Minute},
		{"valid delay", "scale_down_delay: 20s", true, 20 * monotime.Second},
		{"unknown key", "scale_down_dely: 20s", false, 0},
		{"not a duration", "scale_down_delay: soon", false, 0},
		{"no unit", "scale_down_delay: 20", false, 0},
		{"too short", "pass_interval: 1ms", false, 0},
		{"no attempts", "removal_tries: 0", false, 0},
	}
	for _, tc := range cases {
		settings, err := LoadSettings(writeFile(t, tc.text))
		if (err == nil) != tc.ok || tc.ok && settings.ScaleDownDelay.Micros() != tc.delay {
			t.Errorf("%s: got settings %+v, error %v, want accepted %v with scale_down_delay %d µs",
				tc.name, settings, err, tc.ok, tc.delay)
		}
	}
	if _, err := LoadSettings("/nowhere/at/all"); err == nil {
		t.Error("missing file: got no error, want one")
	}
}

// TestSettingsErrorsNameFileKeyAndReason checks that the error for an invalid settings file contains the
// file, the key and the reason.
func TestSettingsErrorsNameFileKeyAndReason(t *testing.T) {
	cases := []struct {
		name, text, key, reason string
	}{
		{"wrong type", "removal_tries: many", "removal_tries", "want integer"},
		{"out of range", "expected_room: 11", "expected_room", "maximum"},
		{"unknown key in a section", "drains: {pace: 3}", "drains", "pace"},
		{
			"both limits",
			"drains: {budgets: [{team: t, min_available: 1, max_unavailable: 1}]}",
			"drains.budgets.0",
			"oneOf",
		},
		{"no limit", "drains: {budgets: [{team: t}]}", "drains.budgets.0", "missing"},
		{"no team", "drains: {budgets: [{min_available: 1}]}", "drains.budgets.0", "team"},
		{
			"negative limit",
			"drains: {budgets: [{team: t, min_available: -1}]}",
			"drains.budgets.0.min_available",
			"minimum",
		},
		{
			"percentage above 100",
			"drains: {budgets: [{team: t, min_available: 101%}]}",
			"drains.budgets.0.min_available",
			"pattern",
		},
		{
			"all replicas must stay available",
			"drains: {budgets: [{team: t, min_available: 100%}]}",
			"drains.budgets[0].min_available",
			"no replica",
		},
		{
			"no replica may be unavailable",
			"drains: {budgets: [{team: t, max_unavailable: 0%}]}",
			"drains.budgets[0].max_unavailable",
			"no replica",
		},
		{
			"two budgets with the same scope",
			"drains: {budgets: [{team: t, min_available: 1}, {team: t, max_unavailable: 1}]}",
			"drains.budgets[1]",
			"budgets[0]",
		},
		{"not YAML", "drains: [", "", ""},
	}
	for _, tc := range cases {
		path := writeFile(t, tc.text)
		_, err := LoadSettings(path)
		if err == nil {
			t.Errorf("%s: got no error, want one", tc.name)
			continue
		}
		for _, part := range []string{path, tc.key, tc.reason} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: got error %q, want %q in it", tc.name, err, part)
			}
		}
	}
}

// TestLaterSettingsFilesOverride checks that a later settings file overrides only the keys that it sets. It
// also checks the team validation of the result.
func TestLaterSettingsFilesOverride(t *testing.T) {
	first := writeFile(
		t,
		"scale_down_delay: 20s\ndrains: {max_parallel: 3, budgets: [{team: t, min_available: 75%}]}",
	)
	second := writeFile(t, "removal_tries: 7\ndrains: {array_wait: 1m}")
	settings, err := LoadSettings(first, second)
	if err != nil {
		t.Fatal(err)
	}
	if settings.ScaleDownDelay.Micros() != 20*monotime.Second || settings.ScaleInAttempts != 7 {
		t.Errorf("got settings %+v, want scale_down_delay 20s and removal_tries 7", settings)
	}
	d := settings.Drains
	if d == nil || d.MaxParallel != 3 || d.ArrayWait.Micros() != monotime.Minute || len(d.Budgets) != 1 ||
		*d.DefaultReserveMachines != 1 {
		t.Fatalf("got drains %+v, want max_parallel 3, array_wait 1m, 1 budget, 1 reserve machine", d)
	}
	if err := settings.CheckTeams([]Team{{Name: "t"}}); err != nil {
		t.Errorf("known team: got error %v, want none", err)
	}
	if err := settings.CheckTeams([]Team{{Name: "u"}}); !errors.Is(err, ErrUnknownTeam) {
		t.Errorf("unknown team: got error %v, want %v", err, ErrUnknownTeam)
	}
	if err := settings.CheckTeams([]Team{{Name: "t"}, {Name: "two words"}}); err == nil {
		t.Error("team name with a space: got no error, want one")
	}
	if settings, err := LoadSettings(); err != nil || settings.Drains != nil {
		t.Errorf("without files: got settings %+v, error %v, want no error and no drains", settings, err)
	}
}

// TestLoadSettingsWithoutWorkingDirectory guards against a schema URI that is resolved against the working
// directory: loading would fail if the directory no longer exists, as under a service manager that removes
// it.
func TestLoadSettingsWithoutWorkingDirectory(t *testing.T) {
	path := writeFile(t, "removal_tries: 7")
	folder := filepath.Join(t.TempDir(), "gone")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Chdir(folder)
	if err := os.Remove(folder); err != nil {
		t.Fatal(err)
	}
	if settings, err := LoadSettings(path); err != nil || settings.ScaleInAttempts != 7 {
		t.Errorf("got settings %+v, error %v, want removal_tries 7 and no error", settings, err)
	}
}

// TestBudgetRoundsInFavorOfAvailability checks that percentages are rounded so that more replicas stay
// available.
func TestBudgetRoundsInFavorOfAvailability(t *testing.T) {
	cases := []struct {
		text                   string
		replicas, minAvailable int
	}{
		{"min_available: 3", 10, 3},
		{"min_available: 3", 2, 3},
		{"min_available: 75%", 10, 8},
		{"min_available: 75%", 1, 1},
		{"min_available: 0%", 10, 0},
		{"max_unavailable: 2", 10, 8},
		{"max_unavailable: 25%", 10, 8},
		{"max_unavailable: 10%", 9, 9},
		{"max_unavailable: 100%", 9, 0},
	}
	for _, tc := range cases {
		settings, err := LoadSettings(writeFile(t, "drains: {budgets: [{team: t, "+tc.text+"}]}"))
		if err != nil {
			t.Errorf("%s: got error %v, want none", tc.text, err)
			continue
		}
		if got := settings.Drains.Budgets[0].MinAvailableOf(tc.replicas); got != tc.minAvailable {
			t.Errorf("%s of %d replicas: got %d, want %d", tc.text, tc.replicas, got, tc.minAvailable)
		}
	}
}
