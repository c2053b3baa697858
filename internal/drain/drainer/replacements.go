package drainer

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/drain"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// ReplacementDemands returns the demand of drains with replacement: the replicas on machines that are being
// emptied. The caller may change the result.
func (d *Drainer) ReplacementDemands() []*autoscaling.Demand {
	if d == nil {
		return nil
	}
	demands := make([]*autoscaling.Demand, 0, len(d.replacementDemand))
	for _, demand := range d.replacementDemand {
		copied := *demand
		copied.Zones = d.deps.Jobs.ZoneConstraint(d.deps.Mirror.Jobs[demand.JobID])
		demands = append(demands, &copied)
	}
	return demands
}

// computeReplacementDemand counts, by job, the replicas that drains with replacement will move next.
func (d *Drainer) computeReplacementDemand(snapshot *drain.Snapshot) []*autoscaling.Demand {
	replicas := map[string]int{}
	for _, record := range snapshot.Drains() {
		if record.State != storage.DrainActive || !record.Replace {
			continue
		}
		for _, id := range snapshot.MachinesBeingEmptied(&record) {
			machine, _ := snapshot.Machine(id)
			for _, replica := range machine.Replicas {
				replicas[replica.Job]++
			}
		}
	}
	var demands []*autoscaling.Demand
	for _, id := range sortedmap.Keys(replicas) {
		if job := d.deps.Mirror.Jobs[id]; job != nil && job.IsOpen() {
			demands = append(demands, &autoscaling.Demand{
				Spec:  &job.Record.Spec,
				Need:  job.TaskResources,
				Tasks: replicas[id],
				JobID: id,
			})
		}
	}
	return demands
}
