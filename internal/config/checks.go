package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

// Least values of what the platform hands over.
const (
	minTransactionOps  = 4
	minValueKB         = 1
	minConnections     = 64
	minReportsPerLease = 2
)

// check looks for settings with which a controller can't work. The error begins with the field.
func (c *Config) check() error {
	for _, check := range []func() error{
		c.checkNames,
		c.checkAddresses,
		c.checkZonesAndTeams,
		c.checkAmounts,
		c.checkMinimums,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames looks for names that are missing or not unique among the controllers.
func (c *Config) checkNames() error {
	if c.Node == "" {
		return errors.New("node: missing")
	}
	if c.Area == "" {
		return errors.New("area: missing")
	}
	seen := map[string]bool{c.Node: true}
	for i, peer := range c.Peers {
		if peer.Node == "" || seen[peer.Node] {
			return fmt.Errorf("known[%d].node: missing or named twice", i)
		}
		seen[peer.Node] = true
	}
	return nil
}

// checkAddresses looks for addresses that can't be listened on or dialled.
func (c *Config) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"public_addr", c.PublicAddr}, {"peer_bind", c.PeerBind},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	}
	for i, peer := range c.Peers {
		addresses = append(addresses, address{fmt.Sprintf("known[%d].addr", i), peer.Addr})
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("%s: %q is not an IP address with a port", address.field, address.value)
		}
	}
	return nil
}

// checkZonesAndTeams looks for zones and teams that are missing, and for teams that contradict each other.
func (c *Config) checkZonesAndTeams() error {
	if len(c.Facts.Zones) == 0 {
		return errors.New("facts.zones: missing")
	}
	names := map[string]bool{}
	for i, team := range c.Facts.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if team.Name == "" || names[team.Name] {
			return fmt.Errorf("%s.name: missing or named twice", field)
		}
		names[team.Name] = true
		for _, amount := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if !isFinite(amount) || amount < 0 {
				return fmt.Errorf("%s: amounts must be 0 or more", field)
			}
		}
	}
	if len(c.Facts.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	return nil
}

// checkAmounts looks for amounts that are no amounts.
func (c *Config) checkAmounts() error {
	facts := &c.Facts
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"facts.workers.report_s", facts.Workers.HeartbeatIntervalS},
		{"facts.workers.lease_s", facts.Workers.LeaseS},
		{"facts.workers.cancel_s", facts.Workers.CancelWithinS},
		{"facts.state.rps", facts.State.RPS},
		{"facts.state.write_rps", facts.State.WriteRPS},
		{"facts.state.value_kb", facts.State.ValueKB},
		{"facts.state.txn_ops", float64(facts.State.TxnOps)},
		{"facts.cloud.rps", facts.Cloud.RPS},
		{"facts.quota.memory_mb", facts.Quota.MemoryMB},
		{"facts.quota.max_connections", float64(facts.Quota.MaxConnections)},
	} {
		if !isFinite(amount.value) || amount.value <= 0 {
			return fmt.Errorf("%s: must be above 0", amount.field)
		}
	}
	if !isFinite(facts.Cloud.ListLagS) || facts.Cloud.ListLagS < 0 ||
		!isFinite(facts.SkewMs) || facts.SkewMs < 0 {
		return errors.New("facts.cloud.list_lag_s, facts.skew_ms: must be 0 or more")
	}
	return nil
}

// checkMinimums looks for amounts that a controller can't do with.
func (c *Config) checkMinimums() error {
	facts := &c.Facts
	switch {
	case facts.State.TxnOps < minTransactionOps:
		return errors.New("facts.state.txn_ops: at least 4 changes a transaction are needed")
	case facts.State.ValueKB < minValueKB:
		return errors.New("facts.state.value_kb: at least 1 KiB a value is needed")
	case facts.Quota.MaxConnections < minConnections:
		return errors.New("facts.quota.max_connections: at least 64 are needed")
	case facts.Workers.HeartbeatIntervalS*minReportsPerLease > facts.Workers.LeaseS:
		return errors.New("facts.workers.lease_s: must be at least two reports long")
	}
	return nil
}

// isFinite reports that a value is a number, and not an infinite one.
func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
