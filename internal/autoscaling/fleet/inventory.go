package fleet

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Intervals of reading the cloud's machine list.
const (
	listInterval = 10 * monotime.Second
	// unknownMachineMargin is a safety margin on the age at which the leader adopts a machine that no record
	// names: the machine must be older than twice the list's lag plus this margin. A younger machine may
	// have been created for a scale-out request whose record doesn't name its machines yet.
	unknownMachineMargin = 5 * monotime.Second
)

// listedStateFailed is the state of failed machines in the cloud's list.
const listedStateFailed = "failed"

// startListing starts to read the cloud's machine list page by page, to find failed machines and machines
// that no record names. A machine that isn't listed may still exist, because the list lags.
func (r *Reconciler) startListing() {
	r.term.listInFlight = true
	r.listPage(r.term.number, "")
}

// listPage reads the page that begins after a machine ID as soon as the rate limit allows it. It does nothing
// if the term that started the listing has ended.
func (r *Reconciler) listPage(term uint64, after string) {
	if term != r.term.number {
		return
	}
	now := r.now()
	if !r.deps.Membership.IsLeader(now) { // another leader may have requested machines meanwhile
		r.term.listInFlight = false
		return
	}
	if delay := r.deps.CloudCalls.WaitTime(now, 1); delay > 0 {
		r.deps.Environment.After(delay, func() { r.listPage(term, after) })
		return
	}
	r.callCloud(protocol.CloudCall{Op: protocol.CloudList, After: after}, r.handleListPage)
}

// handleListPage inspects the machines of one list page and reads the next page, if there is one.
func (r *Reconciler) handleListPage(result protocol.CloudResult) {
	r.noteCloudOutcome(result.Outcome)
	if result.Outcome != protocol.OK {
		r.term.listInFlight = false
		r.term.nextListAt = r.now() + cloudRetryDelay
		return
	}
	if !r.deps.Membership.IsLeader(r.now()) {
		r.term.listInFlight = false
		return
	}
	for i := range result.Listed {
		r.inspectListed(&result.Listed[i])
	}
	if result.More && len(result.Listed) > 0 {
		r.listPage(r.term.number, result.Listed[len(result.Listed)-1].ID)
		return
	}
	r.finishListing()
}

// finishListing adopts unknown machines once the list has been read to its end. The first complete list of a
// term enables scale-out.
func (r *Reconciler) finishListing() {
	r.term.listInFlight = false
	r.term.nextListAt = r.now() + listInterval
	r.adoptUnknownMachines()
	if !r.term.inventoryRebuilt {
		r.term.inventoryRebuilt = true
		r.deps.Log.Info("inventory rebuilt, scale-out enabled",
			"machines", len(r.deps.Mirror.Machines), "scale_outs", len(r.deps.Mirror.ScaleOuts))
	}
}

// inspectListed records a listed machine as failed, or as unknown if no record names it although the machine
// is old enough to have a record.
func (r *Reconciler) inspectListed(listed *protocol.ListedMachine) {
	records := r.deps.Mirror
	if !protocol.ValidKeyPart(listed.ID) || records.ScaleInOfMachine[listed.ID] != "" {
		return
	}
	if listed.State == listedStateFailed {
		r.term.failedMachines[listed.ID] = true
		return
	}
	if machine := records.Machines[listed.ID]; machine != nil && machine.Record != nil {
		return
	}
	minAge := monotime.FromSeconds(2*r.cfg.ListLagSeconds) + unknownMachineMargin
	if records.ScaleOutOfMachine[listed.ID] == "" && monotime.FromSeconds(listed.AgeS) > minAge {
		r.term.unknownMachines[listed.ID] = listed
	}
}

// adoptUnknownMachines writes scale-out requests for machines that no record names. Such machines are then
// handled like requested machines: a controller claims them when they are up, and the leader terminates them
// if they don't come up in time.
func (r *Reconciler) adoptUnknownMachines() {
	records := r.deps.Mirror
	for _, id := range sortedmap.Keys(r.term.unknownMachines) {
		listed := r.term.unknownMachines[id]
		delete(r.term.unknownMachines, id)
		if records.ScaleOutOfMachine[id] != "" || records.ScaleInOfMachine[id] != "" {
			continue
		}
		key := r.newScaleOutKey()
		record := storage.ScaleOutRequest{
			Phase:           storage.ScaleOutProvisioning,
			MachineType:     listed.Type,
			Zone:            listed.Zone,
			Spot:            listed.Spot,
			Count:           1,
			Machines:        []string{id},
			LiveControllers: r.deps.Controllers.Connected(),
			PhaseSince:      r.deps.Environment.WallClock(),
		}
		r.deps.Log.Info("unrequested machine found",
			"machine", id, "machine_type", listed.Type, "zone", listed.Zone)
		r.Commit(ratelimit.PriorityBackground, key, protocol.PutIfUnchanged(key, 0, &record), nil)
	}
}
