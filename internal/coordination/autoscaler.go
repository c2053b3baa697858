package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/autoscaling/fleet"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/storage"
)

// autoscaler gives package autoscaling its inputs. While this controller is the leader, fleet carries the plans out.
type autoscaler struct {
	c     *Controller
	fleet *fleet.Reconciler
}

func newAutoscaler(c *Controller) *autoscaler {
	as := &autoscaler{c: c}
	as.fleet = newFleetReconciler(as)
	return as
}

// snapshot is what demand and supply are read from.
func (as *autoscaler) snapshot(now monotime.Micros) *autoscaling.Snapshot {
	return &autoscaling.Snapshot{
		Records:           as.c.mirror,
		MachineTypes:      as.c.catalog.machineTypes,
		Jobs:              jobPolicy{as.c},
		Now:               now,
		WallClock:         as.c.env.WallClock(),
		ServiceHeadroom:   as.c.settings.ServiceHeadroom,
		OverdueBootFactor: as.c.settings.OverdueBootFactor,
	}
}

// demandAndSupply lists the tasks without room that the quotas let run, those that drains want replaced among them,
// and the machines that are up or requested.
func (as *autoscaler) demandAndSupply(snapshot *autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin) {
	waiting := append(
		snapshot.UnplacedDemand(as.c.scheduler.orderedQueue()),
		as.c.drains.replacementDemands()...,
	)
	return waiting, snapshot.Bins()
}

// latestStarts are the times by which the users' aims would have a job's tasks begin, in
// seconds from its submission, the shortest first: multiples of its deadline and the
// times within which its class is to be finished, less its run; the times within
// which its class is to have started. Without any of them it has no such time.
func (as *autoscaler) latestStarts(spec *storage.JobSpec) []float64 {
	run := autoscaling.EstimateMargin * as.c.scheduler.expectedRunSeconds(spec)
	var out []float64
	due := false
	for _, o := range as.c.cfg.Facts.Objectives {
		switch {
		case o.Class != spec.Class || spec.Service:
		case o.Kind == "finished":
			out = append(out, o.WithinS-run)
		case o.Kind == "wait":
			out = append(out, o.WithinS)
		case o.Kind == "deadline" && spec.DeadlineS > 0 && o.Times > 0:
			out = append(out, o.Times*spec.DeadlineS-run)
			due = true
		}
	}
	if !due && spec.DeadlineS > 0 {
		out = append(out, spec.DeadlineS-run)
	}
	if len(out) == 0 {
		return []float64{math.Inf(1)}
	}
	sort.Float64s(out)
	return out
}

// slackOf tells how many seconds a job's waiting tasks may still wait and meet the
// first of its aims that can still be met, and how many can't.
func (as *autoscaler) slackOf(job *mirror.Job, wall int64) (seconds float64, missed int) {
	age := monotime.Micros(wall - job.Record.AcceptedAt).Seconds()
	begins := as.latestStarts(&job.Record.Spec)
	for missed < len(begins) && begins[missed] < age {
		missed++
	}
	return begins[min(missed, len(begins)-1)] - age, missed
}
