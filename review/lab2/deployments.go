package main

import (
	"fmt"
	"strings"
	"time"
)

// quickBoot is the boot time of every machine here: "at times machines are up within a second or two".
const quickBoot = 1500 * time.Millisecond

func team(name string, cpus, cpusMax float64) string {
	return fmt.Sprintf("[[facts.teams]]\nname = %q\ncpus = %g\ncpus_max = %g\ngpus = 0.0\ngpus_max = 0.0\n", name, cpus,
		cpusMax)
}

// tipshare is the deployment of the hosted scheduler, Manila to Davao, with its guest team.
func tipshare() *settings {
	zones := []string{"davao-north", "manila-east", "cebu-south"}
	return &settings{
		nodes: []string{"gapnode-0", "gapnode-1", "gapnode-2"}, areas: zones, zones: zones,
		teams: team("platform-ops", 0, 0) + team("bayanihan-analytics", 0, 0),
		objectives: strings.Join([]string{
			"[[facts.objectives]]\nkind = \"wait\"\nclass = \"payout-api\"\nwithin_s = 6.0\nshare = 0.85\n",
			"[[facts.objectives]]\nkind = \"finished\"\nclass = \"shift-tally\"\nwithin_s = 70.0\nshare = 0.88\n",
			"[[facts.objectives]]\nkind = \"finished\"\nclass = \"shift-tally\"\nwithin_s = 150.0\nshare = 0.96\n",
		}, ""),
		reportS: 3, leaseS: 28, cancelS: 53, stateRPS: 100, stateWriteRPS: 25, valueKB: 16, txnOps: 20,
		cloudRPS: 3, listLagS: 4, cores: 0.18, memoryMB: 98, connections: 1200,
		types: []*machineType{
			{"sari8", 8, 16, 50, 0.6, 0.26, 0.07, 40, []string{"manila-east", "cebu-south"}, quickBoot, 5, 5},
			{"jeep16", 16, 32, 30, 1, 0.58, 0.18, 25, []string{"davao-north", "manila-east"}, quickBoot, 2, 1},
			{"barge32", 32, 64, 70, 0.4, 1.14, 0.33, 35, []string{"manila-east", "cebu-south"}, quickBoot, 1, 1},
		},
	}
}

// kingston is the deployment of the logger scheduler.
func kingston() *settings {
	zones := []string{"kingston-rack", "mobay-rack"}
	return &settings{
		nodes: []string{"gapnode-0", "gapnode-1", "gapnode-2"}, zones: zones,
		areas: []string{"kingston-rack", "mobay-rack", "kingston-rack"},
		teams: team("field-crew", 72, 208) + team("network-modelling", 48, 250) + team("parish-liaison", 88, 296) +
			team("data-desk", 56, 152) + team("grants-reporting", 72, 176) + team("meter-lab", 72, 208) +
			team("uwi-hydro-lab", 0, 0),
		objectives: "[[facts.objectives]]\nkind = \"wait\"\nclass = \"logger-intake\"\nwithin_s = 3.0\nshare = 0.92\n" +
			"[[facts.objectives]]\nkind = \"deadline\"\nclass = \"leak-scan\"\nshare = 0.93\ntimes = 1.0\n" +
			"[[facts.objectives]]\nkind = \"deadline\"\nclass = \"transient-replay\"\nshare = 0.95\ntimes = 1.0\n" +
			"[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.97\n",
		reportS: 2, leaseS: 12, cancelS: 32, stateRPS: 200, stateWriteRPS: 50, valueKB: 4, txnOps: 12,
		cloudRPS: 6, listLagS: 3, cores: 0.3, memoryMB: 179, connections: 1500,
		types: []*machineType{{"mango16", 16, 128, 60, 0.6, 1.06, 0.43, 35, zones, quickBoot, 16, 9}},
	}
}

// sewer is the deployment of the wastewater side.
func sewer() *settings {
	zones := []string{"spanish-town-rack", "mandeville-rack"}
	return &settings{
		nodes: []string{"gapnode-0", "gapnode-1", "gapnode-2"}, zones: zones,
		areas:      []string{"spanish-town-rack", "mandeville-rack", "spanish-town-rack"},
		teams:      team("wastewater-ops", 64, 192),
		objectives: "[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.93\n",
		reportS:    0.8, leaseS: 10, cancelS: 30, stateRPS: 200, stateWriteRPS: 40, valueKB: 16, txnOps: 32,
		cloudRPS: 3, listLagS: 8, cores: 0.096, memoryMB: 98, connections: 700,
		types: []*machineType{{"ackee16", 16, 64, 60, 1, 0.82, 0.19, 20, zones, quickBoot, 3, 10}},
	}
}
