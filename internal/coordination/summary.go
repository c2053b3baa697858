package coordination

import (
	"context"
	"fmt"
	"log/slog"

	"pipitgap/internal/monotime"
)

type activityCounters struct {
	tasksPlaced, jobsFailed int
	// machines, by placement
	machinesExamined int
	permitWrites     int
}

// LogQueue tells at debug which jobs wait at the front, and why.
func (c *Controller) LogQueue() {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	s := ""
	for i, job := range c.scheduler.orderedQueue() {
		if i == 12 {
			break
		}
		slack := c.scheduler.slackOf(job, c.env.WallClock())
		s += fmt.Sprintf(
			" %s(%s %s age %.0f slack %.0f missed %d"+
				" starved %v within_guarantee %v waiting %d pending_here %d"+
				" backoff_ms %d update_in_flight %v mirror_stale %v)",
			job.ID,
			job.Record.Spec.Class,
			job.Record.Spec.Team,
			monotime.Micros(c.env.WallClock()-job.Record.AcceptedAt).
				Seconds(),
			slack.Seconds,
			slack.Missed,
			c.scheduler.isStarved(job, c.now()),
			c.scheduler.withinGuarantee(job),
			job.UnassignedTasks(),
			job.PendingInPartition(c.node),
			max(
				0,
				c.scheduler.trackingOf(job.ID).placeNotBefore-c.now(),
			).Milliseconds(),
			c.recordWritesInFlight[job.ID],
			c.mirror.WatchedRevision < job.Version,
		)
	}
	shares := ""
	for i := range c.cfg.Facts.Teams {
		team := c.cfg.Facts.Teams[i].Name
		if limits, _ := c.quota.Limits(team); limits.Limited() {
			shares += fmt.Sprintf(
				" %s share %.0f unused %.0f unassigned %.0f",
				team,
				c.quota.ShareOf(c.node, team).CPUs,
				c.quota.Left(team).CPUs,
				c.quota.Unallocated(team).CPUs,
			)
		}
	}
	c.log.Debug("queue head", "queue", s, "quota_shares", shares)
}

// Summary is one line about the node, for the log.
func (c *Controller) Summary() string {
	shards, waiting, running, used, all := 0, 0, 0, 0.0, 0.0
	for _, shard := range c.mirror.Shards {
		if c.shards.Owns(shard) {
			shards++
		}
	}
	for _, job := range c.mirror.Jobs {
		if job.IsOpen() {
			waiting += job.UnassignedTasks()
			running += job.AssignedTasks
		}
	}
	for _, machine := range c.mirror.Machines {
		if machine.Record != nil {
			used += machine.Used.CPUs
			all += c.catalog.MachineTypes()[machine.Record.Type].CPUs
		}
	}
	s := fmt.Sprintf(
		"jobs %d waiting %d running %d machines %d cpus %.0f/%.0f members %d shards %d"+
			" accepted %d deferred %d placed %d done %d conflicts %d throttled %d",
		len(
			c.mirror.Jobs,
		),
		waiting,
		running,
		len(c.mirror.Machines),
		used,
		all,
		len(c.mirror.Members),
		shards,
		c.api.Counters().JobsAccepted,
		c.api.Counters().RequestsDeferred,
		c.counters.tasksPlaced,
		c.jobs.Completed(),
		c.replica.CommitConflicts(),
		c.store.ThrottledCalls(),
	)
	if c.drains != nil {
		s += fmt.Sprintf(" permit_writes %d", c.counters.permitWrites)
	}
	for i := range c.cfg.Facts.Teams {
		if teamConfig := &c.cfg.Facts.Teams[i]; teamConfig.CPUsMax > 0 {
			s += fmt.Sprintf(
				" %s %.0f/%.0f",
				teamConfig.Name,
				c.mirror.UseByTeam[teamConfig.Name].CPUs,
				teamConfig.CPUsMax,
			)
		}
	}
	return s
}
