package loopback

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"pipitgap/internal/config"
)

// Platform limits that Options does not set.
const (
	maxTransactionOps = 32
	maxValueKB        = 16
	cloudRPS          = 9
	listLagS          = 1
	memoryMB          = 200
	maxConnections    = 1000
)

// operatorCaller identifies operators' commands as a caller of the state service.
const operatorCaller = "operator"

// configFlags returns the flags that pass a caller its configuration and settings files.
func (d *Deployment) configFlags(caller string) []string {
	args := []string{"--config", d.writeConfig(caller)}
	for _, path := range d.options.Settings {
		args = append(args, "--settings", path)
	}
	return args
}

// peerAddrOf returns the address at which a caller reaches a controller's peer port. Operators' commands are not
// behind a proxy.
func (d *Deployment) peerAddrOf(node, caller string) string {
	if proxy := d.peerProxies[peerPair{caller, node}]; proxy != nil {
		return proxy.addr()
	}
	return d.peerAddrs[node]
}

// writeConfig writes the platform configuration of a caller and returns the path of the file.
func (d *Deployment) writeConfig(caller string) string {
	cfg := config.Config{
		Node:       caller,
		Zone:       d.options.Zones[0],
		PublicAddr: d.publicAddrs[caller],
		PeerBind:   d.peerAddrs[caller],
	}
	if caller == operatorCaller { // a command does not listen, but its configuration must be complete
		cfg.PublicAddr, cfg.PeerBind = d.publicAddrs[d.Controllers[0]], d.peerAddrs[d.Controllers[0]]
	}
	for i, node := range d.Controllers {
		if node != caller {
			cfg.Peers = append(cfg.Peers, config.Peer{
				Node: node, Zone: d.options.Zones[i%len(d.options.Zones)], Addr: d.peerAddrOf(node, caller),
			})
		}
	}
	cfg.External.Cloud, cfg.External.State = d.cloudServer.Addr, d.stateServers[caller].Addr
	f := &cfg.Facts
	f.Zones, f.Teams = d.options.Zones, d.options.Teams
	f.Workers = config.Workers{
		HeartbeatIntervalS: d.options.HeartbeatInterval.Seconds(),
		LeaseS:             d.options.LeaseTime.Seconds(),
		CancelTimeoutS:     d.options.CancelWithin.Seconds(),
	}
	f.State.RPS, f.State.WriteRPS = d.options.StateRPS, d.options.StateWriteRPS
	f.State.ValueKB, f.State.TxnOps = maxValueKB, maxTransactionOps
	f.Cloud.RPS, f.Cloud.ListLagS = cloudRPS, listLagS
	f.Quota.Cores, f.Quota.MemoryMB, f.Quota.MaxConnections = 1, memoryMB, maxConnections
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(&cfg); err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.directory, caller+".toml")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}
