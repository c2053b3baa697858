//go:build review

package main

import (
	"fmt"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/fake/loopback"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

func init() { cases["waiting"] = playWaiting }

// kingstonTeams are the teams of the brief.
var kingstonTeams = []config.Team{
	{Name: "field-crew", CPUs: 72, CPUsMax: 208},
	{Name: "network-modelling", CPUs: 48, CPUsMax: 250},
	{Name: "parish-liaison", CPUs: 88, CPUsMax: 296},
	{Name: "data-desk", CPUs: 56, CPUsMax: 152},
	{Name: "grants-reporting", CPUs: 72, CPUsMax: 176},
	{Name: "meter-lab", CPUs: 72, CPUsMax: 208},
}

// replayTeams are the teams of the arrays; their limits allow an array.
var replayTeams = []string{"field-crew", "network-modelling", "parish-liaison", "meter-lab"}

const (
	intakeServices = 600 // of one task of 1 CPU; 45 machines have 720 CPUs
	replayArrays   = 4   // which come first
	replayTasks    = 90  // of an array, of 2 CPUs each
	replayEstimate = 100 // seconds
	intakeUsers    = 12
	intakeMachines = 45
	refusedNode    = "n-2"
	refusedUntil   = 15 * time.Second
	intakeEnd      = 113 * time.Second
)

// playWaiting: the state service refuses one controller while the machines come up, so that the other two have all
// machines.
func playWaiting(l *lab) {
	zones := []string{"kingston-rack", "mobay-rack"}
	l.deploy(loopback.Options{
		Controllers: 3,
		Zones:       zones,
		Types: []protocol.MachineType{{
			Name: "mango16", CPUs: 16, MemoryGB: 128, OnDemandPrice: 1.06, SpotPrice: 0.43, Zones: zones, BootS: 3,
		}},
		Teams:             kingstonTeams,
		BootTime:          3 * monotime.Second,
		HeartbeatInterval: 2 * monotime.Second,
		LeaseTime:         12 * monotime.Second,
		CancelWithin:      32 * monotime.Second,
		StateRPS:          200,
		StateWriteRPS:     50,
	}, 4, 12)
	l.Clock.Do(func() {
		l.Cloud.Capacity[fake.OfferKey("mango16", zones[0], false)] = 23
		l.Cloud.Capacity[fake.OfferKey("mango16", zones[1], false)] = 22
		for _, team := range kingstonTeams {
			l.Checker.Limits[team.Name] = team.CPUsMax
		}
		l.Store.RefusedCallers[refusedNode] = l.trouble
	})
	healthy := l.Controllers
	if l.trouble {
		l.note("the state service refuses %s", refusedNode)
		healthy = l.Controllers[:2]
	}
	for i := range replayArrays {
		replay := job{Submission: protocol.Submission{
			ID: jobID(100001 + i), Class: "transient-replay", Team: replayTeams[i], Priority: protocol.Standard,
			Tasks: replayTasks, CPUs: 2, MemoryGB: 10, Image: "img", ImageGB: 0.7, EstimateS: replayEstimate,
		}, run: replayEstimate * time.Second}
		if !l.submit(healthy[i%len(healthy)], replay, 20*time.Second) {
			panic(notRun{"an array was not accepted"})
		}
	}
	if !l.Eventually(15*time.Second, func() bool { return len(l.Fleet.Workers) == intakeMachines }) {
		panic(notRun{"the machines are not up"})
	}
	for i := range replayArrays {
		l.ask(healthy[i%len(healthy)], "POST", protocol.CancelPath(jobID(100001+i)), jobID(100001+i), nil)
	}
	accepted := make(chan bool, intakeServices)
	for user := range intakeUsers {
		go func() {
			for i := user; i < intakeServices; i += intakeUsers {
				s := service(jobID(1+i*37%99991), kingstonTeams[i%len(kingstonTeams)].Name, 1, 1)
				s.MemoryGB, s.Priority, s.ImageGB = 6.3, protocol.High, 1.8
				accepted <- l.submit(healthy[i%len(healthy)], s, 40*time.Second)
			}
		}()
	}
	time.Sleep(time.Until(l.startedAt.Add(refusedUntil)))
	l.Clock.Do(func() { l.Store.RefusedCallers[refusedNode] = false })
	if l.trouble {
		l.note("the state service serves %s again", refusedNode)
	}
	l.Clock.Do(func() {
		l.Checker.WatchStarvation(func() []fake.FreeMachine {
			return l.Fleet.FreeMachines(func(string) float64 { return 128 })
		})
	})
	for range intakeServices {
		if !<-accepted {
			panic(notRun{"a service was not accepted"})
		}
	}
	l.note("all %d services are accepted", intakeServices)
	for time.Since(l.startedAt) < intakeEnd {
		l.noteRoom()
		time.Sleep(min(5*time.Second, time.Until(l.startedAt.Add(intakeEnd))))
	}
	l.noteWaiting()
}

// noteRoom records the machines, their free CPUs and the sizes of the shards.
func (l *lab) noteRoom() {
	shards := ""
	l.eachShard(func(key string, shard *storage.Shard) {
		attempts := 0
		for _, entry := range shard.Jobs {
			attempts += len(entry.Attempts)
		}
		shards += fmt.Sprintf("; a shard of %s: %d machines, %d tasks, %d bytes",
			shard.Owner, len(shard.Machines), attempts, l.Store.JSONSize(key))
	})
	l.Clock.Do(func() {
		running, free := 0, 0.0
		for _, team := range kingstonTeams {
			running += l.Fleet.RunningReplicas(team.Name)
		}
		for _, machine := range l.Fleet.FreeMachines(func(string) float64 { return 128 }) {
			free += machine.CPUs
		}
		l.note("%d of %d services run, %d machines, %.0f CPUs free%s",
			running, intakeServices, l.Cloud.MachineCount(), free, shards)
	})
}

// noteWaiting asks for the jobs that do not run.
func (l *lab) noteWaiting() {
	var waiting []string
	l.Clock.Do(func() {
		for i := range intakeServices {
			if id := jobID(1 + i*37%99991); l.Fleet.Running(id) == 0 {
				waiting = append(waiting, id)
			}
		}
	})
	for _, id := range waiting[:min(5, len(waiting))] {
		l.ask(l.Controllers[0], "GET", protocol.JobPath(id), id, nil)
	}
}
