package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

// Minimum values in the platform's configuration.
const (
	minTransactionOps  = 4
	minValueKB         = 1
	minConnections     = 64
	minReportsPerLease = 2
)

// check returns an error if a controller can't work with the configuration. The error text begins with the
// name of the field.
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

// checkNames returns an error if a name or zone of this controller is missing, or if a controller's name is
// missing or not unique.
func (c *Config) checkNames() error {
	if c.Node == "" {
		return errors.New("node: missing")
	}
	if c.Zone == "" {
		return errors.New("area: missing")
	}
	seen := map[string]bool{c.Node: true}
	for i, peer := range c.Peers {
		if peer.Node == "" || seen[peer.Node] {
			return fmt.Errorf("known[%d].node: missing or not unique", i)
		}
		seen[peer.Node] = true
	}
	return nil
}

// checkAddresses returns an error if an address is not an IP address with a port.
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

// checkZonesAndTeams returns an error if there are no zones or no teams, if a team's name is missing or not
// unique, or if an amount of a team is invalid.
func (c *Config) checkZonesAndTeams() error {
	if len(c.Facts.Zones) == 0 {
		return errors.New("facts.zones: missing")
	}
	names := map[string]bool{}
	for i, team := range c.Facts.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if team.Name == "" || names[team.Name] {
			return fmt.Errorf("%s.name: missing or not unique", field)
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

// checkAmounts returns an error if an amount is not finite or is out of range: above 0 for most amounts, and
// 0 or more for the list lag and the clock skew.
func (c *Config) checkAmounts() error {
	facts := &c.Facts
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"facts.workers.report_s", facts.Workers.HeartbeatIntervalS},
		{"facts.workers.lease_s", facts.Workers.LeaseS},
		{"facts.workers.cancel_s", facts.Workers.CancelTimeoutS},
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

// checkMinimums returns an error if an amount is less than a controller needs.
func (c *Config) checkMinimums() error {
	facts := &c.Facts
	switch {
	case facts.State.TxnOps < minTransactionOps:
		return errors.New("facts.state.txn_ops: must be at least 4 operations per transaction")
	case facts.State.ValueKB < minValueKB:
		return errors.New("facts.state.value_kb: must be at least 1 KiB per value")
	case facts.Quota.MaxConnections < minConnections:
		return errors.New("facts.quota.max_connections: must be at least 64")
	case facts.Workers.HeartbeatIntervalS*minReportsPerLease > facts.Workers.LeaseS:
		return errors.New("facts.workers.lease_s: must be at least twice facts.workers.report_s")
	}
	return nil
}

// isFinite reports whether a value is neither NaN nor infinite.
func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
