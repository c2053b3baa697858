package coordination

import (
	"context"
	"fmt"
	"log/slog"

	"pipitgap/internal/cancellation"
)

// activityCounters counts events since the start of the process, for Summary.
type activityCounters struct {
	tasksPlaced  int
	permitWrites int
}

// queueHeadLength is the maximum number of jobs that LogQueue logs.
const queueHeadLength = 12

// LogQueue logs the first jobs of the queue and why they wait, at level debug.
func (c *Controller) LogQueue() {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	queue := c.scheduler.OrderedQueue()
	head := ""
	for _, job := range queue[:min(len(queue), queueHeadLength)] {
		head += c.scheduler.DescribeWait(job)
	}
	c.log.Debug("queue head", "queue", head, "quota_shares", c.describeQuotaShares())
}

// describeQuotaShares returns, in CPUs for each team with a limit, this controller's share of the limit, the
// unused part of that share, and the part of the limit that is allocated to no controller.
func (c *Controller) describeQuotaShares() string {
	shares := ""
	for i := range c.cfg.Facts.Teams {
		team := c.cfg.Facts.Teams[i].Name
		if limits, _ := c.quota.Limits(team); limits.Limited() {
			shares += fmt.Sprintf(
				" %s share %.0f unused %.0f unassigned %.0f",
				team,
				c.quota.ShareOf(c.node, team).CPUs,
				c.quota.RemainingQuota(team).CPUs,
				c.quota.Unallocated(team).CPUs,
			)
		}
	}
	return shares
}

// clusterTotals holds totals over the mirror's records.
type clusterTotals struct {
	ownShards, waitingTasks, runningTasks int
	usedCPUs, allCPUs                     float64
}

// clusterTotals computes the totals over the current mirror.
func (c *Controller) clusterTotals() clusterTotals {
	var totals clusterTotals
	for _, shard := range c.mirror.Shards {
		if c.shards.Owns(shard) {
			totals.ownShards++
		}
	}
	for _, job := range c.mirror.Jobs {
		if job.IsOpen() {
			totals.waitingTasks += job.UnassignedTasks()
			totals.runningTasks += job.AssignedTasks
		}
	}
	for _, machine := range c.mirror.Machines {
		if machine.Record != nil {
			totals.usedCPUs += machine.Used.CPUs
			totals.allCPUs += c.catalog.MachineTypes()[machine.Record.Type].CPUs
		}
	}
	return totals
}

// cancellationCounts returns the counts of the cancellations that this controller has learned and confirmed, of
// its lease renewals and commands, and of violated invariants.
func (c *Controller) cancellationCounts() string {
	agents := c.agents.Counters()
	return fmt.Sprintf(
		" known_own %d known_watch %d known_load %d known_read %d known_peer %d confirmed %d"+
			" renewed %d refused %d kills %d runs %d direct_failed %d violations %d",
		c.cancellations.Learned(cancellation.SourceOwnCommit),
		c.cancellations.Learned(cancellation.SourceWatch),
		c.cancellations.Learned(cancellation.SourceLoad),
		c.cancellations.Learned(cancellation.SourceRead),
		c.cancellations.Learned(cancellation.SourcePeer),
		c.api.Counters().CancellationsConfirmed,
		agents.LeasesRenewed, agents.LeasesRefused, agents.KillsSent, agents.RunsSent, agents.DirectFailures,
		c.invariants.Violations(),
	)
}

// Summary returns a one-line summary of the controller and the cluster for the log.
func (c *Controller) Summary() string {
	totals := c.clusterTotals()
	summary := fmt.Sprintf(
		"jobs %d waiting %d running %d machines %d cpus %.0f/%.0f members %d shards %d"+
			" accepted %d deferred %d placed %d done %d conflicts %d throttled %d",
		len(c.mirror.Jobs), totals.waitingTasks, totals.runningTasks,
		len(c.mirror.Machines), totals.usedCPUs, totals.allCPUs,
		len(c.mirror.Members), totals.ownShards,
		c.api.Counters().JobsAccepted, c.api.Counters().RequestsDeferred,
		c.counters.tasksPlaced, c.jobs.Completed(),
		c.replica.CommitConflicts(), c.store.ThrottledCalls(),
	)
	summary += c.cancellationCounts()
	if c.drains != nil {
		summary += fmt.Sprintf(" permit_writes %d", c.counters.permitWrites)
	}
	for i := range c.cfg.Facts.Teams {
		if team := &c.cfg.Facts.Teams[i]; team.CPUsMax > 0 {
			summary += fmt.Sprintf(
				" %s %.0f/%.0f", team.Name, c.mirror.UsageByTeam[team.Name].CPUs, team.CPUsMax,
			)
		}
	}
	return summary
}
