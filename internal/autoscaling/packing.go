package autoscaling

// fillBins places as many tasks of the demands as fit on the bins' free resources, first fit.
func fillBins(demands []*Demand, bins []*Bin) {
	for _, demand := range demands {
		// Tasks that may use spot machines fill these first, which leaves on-demand machines to tasks that
		// may not use spot machines.
		if demand.Spec.Spot {
			fillBinsOfMarket(demand, bins, true)
		}
		fillBinsOfMarket(demand, bins, false)
	}
}

// fillBinsOfMarket places as many tasks of a demand as fit on the spot bins, or on the on-demand bins.
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

// absorbByPreemption subtracts from the demands of array jobs the tasks that can run by preempting tasks of
// lower priority. No machine is requested for these.
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

// reserveHeadroom reserves the headroom demands on the bins, including capacity that services may gain there
// by preemption, and returns the IDs of the machines on which it reserves any.
func reserveHeadroom(demands []*Demand, bins []*Bin) map[string]bool {
	needed := map[string]bool{}
	for _, demand := range demands {
		for _, empty := range []bool{false, true} { // empty bins last
			reserveOnBins(demand, bins, empty, needed)
		}
	}
	return needed
}

// reserveOnBins reserves one headroom demand either on the empty bins or on the others, and adds the machines on
// which it reserves any to needed. A bin is empty if its whole capacity is free or held by tasks that services
// may preempt: it has no services, and no headroom is reserved on it.
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

// absorptionPolicy selects which future capacity of running machines counts as supply.
type absorptionPolicy struct {
	bootTimes float64 // planning horizon, in boot times of the machine's type
	// spotTasksOnly restricts absorption to tasks that may use spot machines, and the horizon to the time
	// that their objective lets them wait. It applies before on-demand machines, which are expensive for
	// these tasks, are requested.
	spotTasksOnly bool
}

// absorbDemand subtracts from the demands, the most urgent first, the tasks that running machines are
// expected to have free capacity for within the horizon: a machine requested for these tasks would have
// nothing to run. It skips service demands, because services never end.
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

// horizonSeconds returns how long a demand's tasks may wait for a bin's capacity.
func (p absorptionPolicy) horizonSeconds(demand *Demand, bin *Bin) float64 {
	horizon := p.bootTimes * bin.BootSeconds
	if p.spotTasksOnly {
		horizon = min(horizon, max(demand.SlackSeconds, minSpotWaitBootTimes*bin.BootSeconds))
	}
	return horizon
}
