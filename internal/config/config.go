// Package config reads and checks the platform's TOML and the operators' YAML.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// Peer is another controller.
type Peer struct {
	Node string `toml:"node"`
	Area string `toml:"area"`
	Addr string `toml:"addr"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective repeats one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	AfterS  float64 `toml:"after_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers are the durations of the workers' protocol.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // between two reports
	// without an answered report a worker ends its tasks after this
	LeaseS        float64 `toml:"lease_s"`
	CancelWithinS float64 `toml:"cancel_s"` // a cancelled job's tasks must be gone after this
}

// Config is what the platform hands over.
type Config struct {
	Node       string `toml:"node"`
	Area       string `toml:"area"`
	PublicAddr string `toml:"public_addr"`
	PeerBind   string `toml:"peer_bind"`
	Peers      []Peer `toml:"known"`
	External   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Facts struct {
		InitialSize int         `toml:"initial_size"`
		Zones       []string    `toml:"zones"`
		SkewMs      float64     `toml:"skew_ms"`
		Teams       []Team      `toml:"teams"`
		Objectives  []Objective `toml:"objectives"`
		Workers     Workers     `toml:"workers"`
		State       struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			Cores          float64 `toml:"cores"`
			MemoryMB       float64 `toml:"memory_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"quota"`
	} `toml:"facts"`
}

// Load reads the platform's settings; unknown fields are ignored, as the
// platform may add some.
func Load(path string) (*Config, error) {
	var c Config
	if _, err := toml.DecodeFile(path, &c); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &c, nil
}

func (c *Config) check() error {
	f := &c.Facts
	if c.Node == "" {
		return errors.New("node: missing")
	}
	if c.Area == "" {
		return errors.New("area: missing")
	}
	addrs := []struct{ field, v string }{
		{"public_addr", c.PublicAddr}, {"peer_bind", c.PeerBind},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	}
	seen := map[string]bool{c.Node: true}
	for i, p := range c.Peers {
		field := fmt.Sprintf("known[%d]", i)
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("%s.node: missing or named twice", field)
		}
		seen[p.Node] = true
		addrs = append(addrs, struct{ field, v string }{field + ".addr", p.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.v); err != nil {
			return fmt.Errorf("%s: %q is not an IP address with a port", a.field, a.v)
		}
	}
	if len(f.Zones) == 0 {
		return errors.New("facts.zones: missing")
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("%s.name: missing or named twice", field)
		}
		names[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !isFinite(v) || v < 0 {
				return fmt.Errorf("%s: amounts must be 0 or more", field)
			}
		}
	}
	if len(f.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	positive := []struct {
		field string
		v     float64
	}{
		{"facts.workers.report_s", f.Workers.HeartbeatIntervalS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelWithinS}, {"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS}, {"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)}, {"facts.cloud.rps", f.Cloud.RPS},
		{"facts.quota.memory_mb", f.Quota.MemoryMB},
		{"facts.quota.max_connections", float64(f.Quota.MaxConnections)},
	}
	for _, p := range positive {
		if !isFinite(p.v) || p.v <= 0 {
			return fmt.Errorf("%s: must be above 0", p.field)
		}
	}
	if !isFinite(f.Cloud.ListLagS) || f.Cloud.ListLagS < 0 || !isFinite(f.SkewMs) || f.SkewMs < 0 {
		return errors.New("facts.cloud.list_lag_s, facts.skew_ms: must be 0 or more")
	}
	if f.State.TxnOps < 4 {
		return errors.New("facts.state.txn_ops: at least 4 changes a transaction are needed")
	}
	if f.State.ValueKB < 1 {
		return errors.New("facts.state.value_kb: at least 1 KiB a value is needed")
	}
	if f.Quota.MaxConnections < 64 {
		return errors.New("facts.quota.max_connections: at least 64 are needed")
	}
	if f.Workers.HeartbeatIntervalS*2 > f.Workers.LeaseS {
		return errors.New("facts.workers.lease_s: must be at least two reports long")
	}
	return nil
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
