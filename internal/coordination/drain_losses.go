package coordination

import (
	"pipitgap/internal/micros"
)

// What disruption budgets don't cover: replicas that are lost, or stopped for another reason
// than a drain. They are counted apart.

// lossCause is why a replica ended outside of a permit.
type lossCause string

// Causes of such ends.
const (
	lossReclaimed lossCause = "spot interruption"
	lossMachine   lossCause = "machine lost"
	lossExit      lossCause = "task exit"
)

// replicaLoss is a replica that ended outside of a permit.
type replicaLoss struct {
	team  string
	cause lossCause
}

// lossesNotedEvery is how often losses are logged, many by one line.
const lossesNotedEvery = 10 * micros.Second

// noteLoss adds a release to the losses of a shard's update, if it is one.
func (d *drains) noteLoss(losses []replicaLoss, m *machine, ref taskRef) []replicaLoss {
	if d == nil {
		return losses
	}
	j := d.core.view.jobs[ref.job]
	if j == nil || !j.open() || !d.tracks(&j.rec.Spec) || d.permitted(j, ref, m.tasks[ref]) {
		return losses
	}
	cause := lossExit
	switch {
	case m.w != nil && m.w.noticed:
		cause = lossReclaimed
	case m.w == nil || m.w.lost || m.w.removing != "" || d.core.view.removal[m.id] != "":
		cause = lossMachine
	}
	return append(losses, replicaLoss{j.rec.Spec.Team, cause})
}

// permitted tells whether an attempt was to be stopped under a permit.
func (d *drains) permitted(j *job, ref taskRef, attempt uint64) bool {
	for _, p := range d.core.view.permits[j.rec.Spec.Team].rec.Permits {
		if p.Job == ref.job && p.Task == ref.index && p.Attempt == attempt {
			return true
		}
	}
	return false
}

// countLosses counts losses whose release is in the store.
func (d *drains) countLosses(losses []replicaLoss) {
	if d == nil || len(losses) == 0 {
		return
	}
	for _, loss := range losses {
		d.outside[loss.cause]++
	}
	if now := d.core.now(); now-d.lossNoted >= lossesNotedEvery {
		d.lossNoted = now
		for _, cause := range sortedKeys(d.outside) {
			d.core.log.Info("replicas lost outside of permits",
				"reason", string(cause), "replicas_total", d.outside[cause])
		}
	}
}
