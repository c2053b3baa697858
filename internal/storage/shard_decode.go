package storage

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"pipitgap/internal/protocol"
)

// shardDecoder decodes the stored form of a shard.
type shardDecoder struct {
	kinds           []machineKind
	previous        *Shard // an earlier version of the shard whose entries may be reused; may be nil
	shard           *Shard
	machineByNumber map[int]string // machine ids
}

// DecodeShard decodes a stored shard. It reuses the unchanged entries of previous, an earlier version of the
// shard, which may be nil. Errors wrap ErrMalformedShard.
func DecodeShard(raw protocol.Raw, previous *Shard) (*Shard, error) {
	var record shardRecord
	if err := protocol.Unmarshal(raw, &record); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedShard, err)
	}
	d := shardDecoder{
		kinds:    record.MachineKinds,
		previous: previous,
		shard: &Shard{
			Owner:       record.Owner,
			Incarnation: record.Incarnation,
			Claim:       record.Claim,
			Machines:    map[string]*ShardMachine{},
			Jobs:        map[string]*ShardJob{},
		},
		machineByNumber: map[int]string{},
	}
	if err := d.decodeMachines(record.Machines); err != nil {
		return nil, err
	}
	if err := d.decodeJobs(record.Jobs); err != nil {
		return nil, err
	}
	return d.shard, nil
}

// malformedEntry returns the error for an entry that can't be decoded.
func malformedEntry(entry string) error { return fmt.Errorf("%w: entry %q", ErrMalformedShard, entry) }

// decodeMachines decodes the entries of the machines.
func (d *shardDecoder) decodeMachines(entries string) error {
	lastID, lastEndpoint := "", ""
	for _, entry := range splitEntries(entries) {
		columns := strings.Split(entry, columnSeparator)
		if len(columns) <= stateColumn {
			return malformedEntry(entry)
		}
		id, idOK := expandPrefix(lastID, columns[idColumn])
		endpoint, endpointOK := expandPrefix(lastEndpoint, columns[endpointColumn])
		machine, machineOK := d.decodeMachine(columns, endpoint)
		if !idOK || !endpointOK || !machineOK || id == "" ||
			d.machineByNumber[machine.Number] != "" || d.shard.Machines[id] != nil {
			return malformedEntry(entry)
		}
		lastID, lastEndpoint = id, endpoint
		d.machineByNumber[machine.Number] = id
		d.shard.Machines[id] = d.reuseMachine(id, machine)
	}
	return nil
}

// decodeMachine decodes a machine from the columns of its entry. All columns except the claim must be
// present.
func (d *shardDecoder) decodeMachine(columns []string, endpoint string) (machine *ShardMachine, ok bool) {
	number, err := strconv.ParseInt(columns[numberColumn], numberBase, 32)
	if err != nil {
		return nil, false
	}
	index, err := strconv.ParseInt(columns[kindColumn], numberBase, 32)
	if err != nil || index < 0 || int(index) >= len(d.kinds) {
		return nil, false
	}
	claim := uint64(0)
	if len(columns) > claimColumn {
		if claim, err = strconv.ParseUint(columns[claimColumn], numberBase, 64); err != nil {
			return nil, false
		}
	}
	kind := d.kinds[index]
	return &ShardMachine{
		Number:   int(number),
		Type:     kind.Type,
		Zone:     kind.Zone,
		Spot:     kind.Spot,
		Endpoint: endpoint,
		State:    MachineState(columns[stateColumn]),
		Claim:    claim,
	}, true
}

// reuseMachine returns the previous shard's entry for a machine if it equals the decoded one, and otherwise
// the decoded one.
func (d *shardDecoder) reuseMachine(id string, machine *ShardMachine) *ShardMachine {
	if d.previous != nil {
		if previousMachine := d.previous.Machines[id]; previousMachine != nil && *previousMachine == *machine {
			return previousMachine
		}
	}
	return machine
}

// machineNumbersUnchanged reports whether no number identifies a different machine than in the previous
// shard. Only then does the same text of a job's entry describe the same attempts.
func (d *shardDecoder) machineNumbersUnchanged() bool {
	if d.previous == nil {
		return false
	}
	for id, previousMachine := range d.previous.Machines {
		if current, ok := d.machineByNumber[previousMachine.Number]; ok && current != id {
			return false
		}
	}
	return true
}

// decodeJobs decodes the entries of the jobs. The machines must be decoded first.
func (d *shardDecoder) decodeJobs(entries string) error {
	mayShare := d.machineNumbersUnchanged()
	lastID := ""
	for _, entry := range splitEntries(entries) {
		idText, _, _ := strings.Cut(entry, columnSeparator)
		id, ok := expandPrefix(lastID, idText)
		if !ok || id == "" || d.shard.Jobs[id] != nil {
			return malformedEntry(entry)
		}
		lastID = id
		encoded := entry[len(idText):]
		if mayShare {
			if previousJob := d.previous.Jobs[id]; previousJob != nil && previousJob.encoded == encoded {
				d.shard.Jobs[id] = previousJob
				continue
			}
		}
		job, err := d.decodeJob(encoded)
		if err != nil {
			return fmt.Errorf("%w: entry %q: %w", ErrMalformedShard, entry, err)
		}
		d.shard.Jobs[id] = job
	}
	return nil
}

// decodeJob decodes a job's entry without the job id.
func (d *shardDecoder) decodeJob(encoded string) (*ShardJob, error) {
	job := &ShardJob{encoded: encoded}
	for _, field := range strings.Fields(encoded) {
		completed, ok := strings.CutPrefix(field, completedPrefix)
		if ok && !strings.ContainsAny(field, runningSeparator+startingSeparator) {
			tasks, err := parseTaskSet(completed, protocol.MaxTasks)
			if err != nil {
				return nil, err
			}
			job.Completed = tasks
			continue
		}
		if err := d.decodeAttempts(job, field); err != nil {
			return nil, err
		}
	}
	sort.Slice(job.Attempts, func(a, b int) bool { return job.Attempts[a].Task < job.Attempts[b].Task })
	return job, nil
}

// decodeAttempts decodes one group of attempts, which were assigned together, and adds them to a job.
func (d *shardDecoder) decodeAttempts(job *ShardJob, field string) error {
	group, tasksText, ok := strings.Cut(field, tasksSeparator)
	if !ok {
		tasksText = defaultTaskSet
	}
	numberText, attemptText, running := strings.Cut(group, runningSeparator)
	if !running {
		if numberText, attemptText, ok = strings.Cut(group, startingSeparator); !ok {
			return fmt.Errorf("attempts %q without a separator", field)
		}
	}
	number, err := strconv.ParseInt(numberText, numberBase, 32)
	if err != nil {
		return err
	}
	machine := d.machineByNumber[int(number)]
	if machine == "" {
		return fmt.Errorf("attempts %q on an unknown machine", field)
	}
	attempt, err := strconv.ParseUint(attemptText, numberBase, 64)
	if err != nil {
		return err
	}
	tasks, err := parseTaskSet(tasksText, protocol.MaxTasks)
	if err != nil {
		return err
	}
	tasks.Each(func(task int) {
		job.Attempts = append(job.Attempts, Attempt{task, machine, attempt, !running})
	})
	return nil
}

// expandPrefix decodes a string that appendPrefixCompressed encoded relative to previous; ok is false if
// text is malformed.
func expandPrefix(previous, text string) (s string, ok bool) {
	if text == "" {
		return "", false
	}
	n, err := strconv.ParseInt(text[:1], numberBase, 32)
	if err != nil || int(n) > len(previous) {
		return "", false
	}
	return previous[:n] + text[1:], true
}

// splitEntries splits a list of entries at the separators. It returns nil for an empty text.
func splitEntries(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, entrySeparator)
}
