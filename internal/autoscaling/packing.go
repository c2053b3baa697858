package autoscaling

// fillBins places what it can of the demands on the bins' free resources, first fit.
func fillBins(demands []*Demand, bins []*Bin) {
	for _, demand := range demands {
		// A task that may use spot machines leaves the others to those that may not.
		if demand.Spec.Spot {
			fillBinsOfMarket(demand, bins, true)
		}
		fillBinsOfMarket(demand, bins, false)
	}
}

// fillBinsOfMarket places what it can of a demand on the spot bins, or on the on-demand ones.
func fillBinsOfMarket(demand *Demand, bins []*Bin, spot bool) {
	for _, bin := range bins {
		if demand.Tasks == 0 {
			return
		}
		if bin.Spot != spot || !demand.allowsMachine(bin.Offer) || bin.Overdue && demand.Spec.Service {
			continue
		}
		bin.place(demand, demand.tasksFitting(bin.Free, bin.Zone))
	}
}

// absorbByPreemption takes from the demands of arrays what they get by preempting work of lower priority: no
// machine is requested for that.
func absorbByPreemption(demands []*Demand, bins []*Bin) {
	for _, demand := range demands {
		if demand.Spec.Service {
			continue
		}
		for _, bin := range bins {
			if demand.Tasks == 0 {
				break
			}
			if len(bin.PreemptibleByPriority) == 0 || !demand.allowsMachine(bin.Offer) {
				continue
			}
			if n := demand.tasksFitting(bin.availableTo(demand.Spec.Priority), bin.Zone); n > 0 {
				bin.placeByPreemption(demand, n)
			}
		}
	}
}

// reserveHeadroom takes headroom from the bins, also from what services may preempt there, and returns the
// machines that it takes it from.
func reserveHeadroom(demands []*Demand, bins []*Bin) map[string]bool {
	needed := map[string]bool{}
	for _, demand := range demands {
		for _, empty := range []bool{false, true} { // machines in use first
			reserveOnBins(demand, bins, empty, needed)
		}
	}
	return needed
}

// reserveOnBins takes one demand's headroom from the empty bins, or from those in use, and adds them to
// needed.
func reserveOnBins(demand *Demand, bins []*Bin, empty bool, needed map[string]bool) {
	for _, bin := range bins {
		if demand.Tasks == 0 {
			return
		}
		available := bin.Free.AddScaled(bin.PreemptibleByServices, 1)
		if (available == bin.Capacity) != empty || !demand.allowsMachine(bin.Offer) {
			continue
		}
		n := demand.tasksFitting(available, bin.Zone)
		if n == 0 {
			continue
		}
		bin.PreemptibleByServices = bin.PreemptibleByServices.AddScaled(demand.Need, -float64(n))
		demand.Tasks -= n
		needed[bin.MachineID] = true
	}
}

// absorptionPolicy says what of the running machines' future capacity counts as supply.
type absorptionPolicy struct {
	bootTimes float64 // how far ahead is looked, in boot times of the machine's type
	// Only tasks that may use spot machines are taken, and only by as long as their own objective lets them
	// wait: an on-demand machine is dear for them.
	spotTasksOnly bool
}

// absorbDemand takes from the demands, the most urgent first, what running machines will have free in time:
// machines requested for those tasks would find nothing to do. Services never end, so none of their tasks is
// taken.
func absorbDemand(demands []*Demand, bins []*Bin, policy absorptionPolicy) {
	for _, demand := range sortedByUrgency(demands) {
		if policy.spotTasksOnly && !demand.Spec.Spot || demand.Spec.Service || demand.Need.CPUs <= 0 ||
			demand.restrictsZones() {
			continue
		}
		expected := 0.0
		for _, bin := range bins {
			if expected >= float64(demand.Tasks) {
				break
			}
			if demand.allowsMachine(bin.Offer) && demand.Need.FitsIn(bin.Capacity) {
				withinSeconds := policy.horizonSeconds(demand, bin)
				expected += bin.absorb(demand, withinSeconds, float64(demand.Tasks)-expected)
			}
		}
		demand.Tasks -= min(demand.Tasks, int(expected))
	}
}

// horizonSeconds is how long a demand's tasks are let wait for a bin's capacity.
func (r absorptionPolicy) horizonSeconds(demand *Demand, bin *Bin) float64 {
	horizon := r.bootTimes * bin.BootSeconds
	if r.spotTasksOnly {
		horizon = min(horizon, max(demand.SlackSeconds, minSpotWaitBootTimes*bin.BootSeconds))
	}
	return horizon
}
