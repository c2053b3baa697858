// Package config reads and checks the platform's TOML and the operators' YAML.
package config

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// Peer is another controller.
type Peer struct {
	Node string `toml:"node"` // name
	Area string `toml:"area"` // zone
	Addr string `toml:"addr"` // address and port for frames between controllers
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed
	CPUsMax float64 `toml:"cpus_max"` // limit
	GPUs    float64 `toml:"gpus"`     // guaranteed
	GPUsMax float64 `toml:"gpus_max"` // limit
}

// ObjectiveKind says what an objective bounds.
type ObjectiveKind string

// Kinds of objectives. Others may be set and bind nothing here.
const (
	ObjectiveFinished ObjectiveKind = "finished" // jobs of the class are to have ended within a time
	ObjectiveWait     ObjectiveKind = "wait"     // jobs of the class are to have started within a time
	// they are to have ended within a multiple of their deadlines
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is a service-level objective of the users' for a class of jobs.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`    // job class
	WithinS float64       `toml:"within_s"` // seconds
	AfterS  float64       `toml:"after_s"`
	Share   float64       `toml:"share"`
	Times   float64       `toml:"times"` // multiple of a job's deadline
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
	Node       string `toml:"node"`        // this controller's name
	Area       string `toml:"area"`        // this controller's zone
	PublicAddr string `toml:"public_addr"` // for users and workers
	PeerBind   string `toml:"peer_bind"`   // for the other controllers
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
