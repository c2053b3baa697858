package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pipitgap/internal/micros"
)

const good = `
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

func write(t *testing.T, text string) string {
	p := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestConfig(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"good", "", "", ""},
		{"no node", `node = "n-0"`, "", "node"},
		{"address by name", "10.0.0.1:8080", "localhost:8080", "public_addr"},
		{"no port", "10.2.0.1:2379", "10.2.0.1", "external.state"},
		{"peer like ourselves", `node = "n-1"`, `node = "n-0"`, "known[0].node"},
		{"no rate", "write_rps = 50.0", "", "facts.state.write_rps"},
		{"negative rate", "rps = 6.0", "rps = -6.0", "facts.cloud.rps"},
		{"not a number", "lease_s = 12.0", "lease_s = nan", "facts.workers.lease_s"},
		{"lease too short", "lease_s = 12.0", "lease_s = 3.0", "facts.workers.lease_s"},
		{"team without a name", `name = "t"`, "", "facts.teams[0].name"},
		{"negative limit", "cpus_max = 10.0", "cpus_max = -1.0", "facts.teams[0]"},
		{"few changes", "txn_ops = 12", "txn_ops = 2", "facts.state.txn_ops"},
		{"wrong type", "txn_ops = 12", `txn_ops = "many"`, "txn_ops"},
		{"not TOML", `node = "n-0"`, "node = ", "settings"},
	}
	for _, tc := range cases {
		_, err := Load(write(t, strings.Replace(good, tc.old, tc.new, 1)))
		if tc.field == "" && err != nil || tc.field != "" && (err == nil || !strings.Contains(err.Error(), tc.field)) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}

func TestSettings(t *testing.T) {
	cases := []struct {
		name, text string
		ok         bool
		delay      micros.T
	}{
		{"nothing", "", true, 5 * micros.Minute},
		{"a delay", "scale_down_delay: 20s", true, 20 * micros.Second},
		{"unknown key", "scale_down_dely: 20s", false, 0},
		{"not a duration", "scale_down_delay: soon", false, 0},
		{"no unit", "scale_down_delay: 20", false, 0},
		{"too short", "pass_interval: 1ms", false, 0},
		{"no tries", "removal_tries: 0", false, 0},
	}
	for _, tc := range cases {
		s, err := LoadSettings(write(t, tc.text))
		if (err == nil) != tc.ok || tc.ok && s.ScaleDownDelay.T() != tc.delay {
			t.Errorf("%s: %+v %v", tc.name, s, err)
		}
	}
	if _, err := LoadSettings("/nowhere/at/all"); err == nil {
		t.Error("a file that isn't there")
	}
}
