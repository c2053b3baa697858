// Package config reads and validates the platform's configuration (TOML) and the operators' settings (YAML).
package config

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// Peer is another controller.
type Peer struct {
	Node string `toml:"node"` // name
	Zone string `toml:"area"` // zone
	Addr string `toml:"addr"` // address and port for frames between controllers
}

// Team is a team with its guaranteed resources and its limits. 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed
	CPUsMax float64 `toml:"cpus_max"` // limit
	GPUs    float64 `toml:"gpus"`     // guaranteed
	GPUsMax float64 `toml:"gpus_max"` // limit
}

// ObjectiveKind is the kind of time that an objective limits.
type ObjectiveKind string

// Kinds of objectives. Objectives of any other kind are ignored.
const (
	ObjectiveFinished ObjectiveKind = "finished" // jobs of the class must end within a time
	ObjectiveWait     ObjectiveKind = "wait"     // jobs of the class must start within a time
	// jobs of the class must end within a multiple of their deadlines
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is a service-level objective of the users for a job class.
type Objective struct {
	Kind             ObjectiveKind `toml:"kind"`
	Class            string        `toml:"class"`    // job class
	LimitS           float64       `toml:"within_s"` // limit in seconds, for ObjectiveFinished and ObjectiveWait
	AfterS           float64       `toml:"after_s"`
	Share            float64       `toml:"share"`
	DeadlineMultiple float64       `toml:"times"` // limit as a multiple of the job's deadline, for ObjectiveDeadline
}

// Workers contains the durations of the worker protocol, in seconds.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // interval between two heartbeats
	// a worker ends its tasks if it gets no response to a heartbeat for this long
	LeaseS         float64 `toml:"lease_s"`
	CancelTimeoutS float64 `toml:"cancel_s"` // the tasks of a cancelled job must end within this time
}

// Config is the configuration that the platform passes to a controller.
type Config struct {
	Node       string `toml:"node"`        // this controller's name
	Zone       string `toml:"area"`        // this controller's zone
	PublicAddr string `toml:"public_addr"` // address and port for users and workers
	PeerBind   string `toml:"peer_bind"`   // address and port for the other controllers
	Peers      []Peer `toml:"known"`       // the other controllers
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

// Load reads and validates the platform's configuration. It ignores unknown fields, since the platform may
// add new ones.
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
