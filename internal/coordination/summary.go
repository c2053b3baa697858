package coordination

import (
	"context"
	"fmt"
	"log/slog"

	"pipitgap/internal/micros"
)

type stats struct {
	accepted, later, placed, done, failed, conflicts, throttled int
	looked                                                      int // machines, by placement
	permitWrites                                                int
}

// LogWaiting tells at debug which jobs wait at the front, and why.
func (c *Core) LogWaiting() {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	s := ""
	for i, j := range c.openJobs() {
		if i == 12 {
			break
		}
		slack, missed := c.slack(j, c.env.Wall())
		s += fmt.Sprintf(" %s(%s %s age %.0f slack %.0f missed %d"+
			" starved %v within_guarantee %v waiting %d pending_here %d"+
			" backoff_ms %d update_in_flight %v mirror_stale %v)",
			j.id, j.rec.Spec.Class, j.rec.Spec.Team,
			micros.T(c.env.Wall()-j.rec.At).Seconds(), slack, missed, c.starved(j, c.now()), c.owed(j), j.waiting(), j.pendingOf(c.node),
			max(0, c.jobNotes(j.id).until-c.now()).Millis(), c.jobBusy[j.id], c.view.watched < j.version)
	}
	shares := ""
	for i := range c.cfg.Facts.Teams {
		team := c.cfg.Facts.Teams[i].Name
		if limit, _ := c.team(team); limit.limited() {
			shares += fmt.Sprintf(" %s share %.0f unused %.0f unassigned %.0f", team,
				c.partitionShare(c.node, team).cpus, c.shareLeft(team).cpus, c.pool(team).cpus)
		}
	}
	c.log.Debug("queue head", "queue", s, "quota_shares", shares)
}

// Summary is one line about the node, for the log.
func (c *Core) Summary() string {
	shards, waiting, running, used, all := 0, 0, 0, 0.0, 0.0
	for _, p := range c.view.shards {
		if c.owns(p) {
			shards++
		}
	}
	for _, j := range c.view.jobs {
		if j.open() {
			waiting += j.waiting()
			running += j.held
		}
	}
	for _, m := range c.view.machines {
		if m.rec != nil {
			used += m.used.cpus
			all += c.types[m.rec.Type].CPUs
		}
	}
	s := fmt.Sprintf("jobs %d waiting %d running %d machines %d cpus %.0f/%.0f members %d shards %d"+
		" accepted %d deferred %d placed %d done %d conflicts %d throttled %d",
		len(c.view.jobs), waiting, running, len(c.view.machines), used, all, len(c.view.members), shards,
		c.stats.accepted, c.stats.later, c.stats.placed, c.stats.done, c.stats.conflicts, c.stats.throttled)
	if c.drains != nil {
		s += fmt.Sprintf(" permit_writes %d", c.stats.permitWrites)
	}
	for i := range c.cfg.Facts.Teams {
		if t := &c.cfg.Facts.Teams[i]; t.CPUsMax > 0 {
			s += fmt.Sprintf(" %s %.0f/%.0f", t.Name, c.view.teamUse[t.Name].cpus, t.CPUsMax)
		}
	}
	return s
}
