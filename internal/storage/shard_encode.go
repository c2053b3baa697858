package storage

import (
	"strconv"

	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// Bounds of the JSON form of a shard's record, beside the texts that it holds.
const (
	shardRecordBytes = 120
	machineKindBytes = 14
)

// Encode returns the stored form and an upper bound of its size as the state service counts it, in bytes.
func (s *Shard) Encode() (raw protocol.Raw, size int) {
	machines, kinds := s.encodeMachines()
	record := shardRecord{
		Owner:        s.Owner,
		Incarnation:  s.Incarnation,
		Claim:        s.Claim,
		MachineKinds: kinds,
		Machines:     machines,
		Jobs:         s.encodeJobs(),
	}
	size = shardRecordBytes + len(s.Owner) + len(record.Machines) + len(record.Jobs)
	for _, kind := range kinds {
		size += len(kind.Type) + len(kind.Zone) + machineKindBytes
	}
	return protocol.MustMarshal(&record), size
}

// encodeMachines returns the entries of the machines, in the order of their ids, and the kinds that they
// name.
func (s *Shard) encodeMachines() (entries string, kinds []machineKind) {
	kindIndex := map[machineKind]int{}
	var text []byte
	lastID, lastEndpoint := "", ""
	for _, id := range sortedmap.Keys(s.Machines) {
		machine := s.Machines[id]
		kind := machineKind{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
		index, ok := kindIndex[kind]
		if !ok {
			index = len(kinds)
			kindIndex[kind] = index
			kinds = append(kinds, kind)
		}
		if len(text) > 0 {
			text = append(text, entrySeparator...)
		}
		text = strconv.AppendInt(text, int64(machine.Number), numberBase)
		text = appendPrefixCompressed(append(text, columnSeparator...), lastID, id)
		text = appendPrefixCompressed(append(text, columnSeparator...), lastEndpoint, machine.Endpoint)
		text = strconv.AppendInt(append(text, columnSeparator...), int64(index), numberBase)
		text = append(append(text, columnSeparator...), machine.State...)
		if machine.Claim > s.Claim {
			text = strconv.AppendUint(append(text, columnSeparator...), machine.Claim, numberBase)
		}
		lastID, lastEndpoint = id, machine.Endpoint
	}
	return string(text), kinds
}

// encodeJobs returns the entries of the jobs, in the order of their ids.
func (s *Shard) encodeJobs() string {
	var text []byte
	lastID := ""
	for _, id := range sortedmap.Keys(s.Jobs) {
		if len(text) > 0 {
			text = append(text, entrySeparator...)
		}
		entry := s.Jobs[id]
		if entry.encoded == "" {
			entry.encoded = entry.encode(s.Machines)
		}
		text = append(appendPrefixCompressed(text, lastID, id), entry.encoded...)
		lastID = id
	}
	return string(text)
}

// attemptGroup is what the attempts of a job that were assigned together have in common.
type attemptGroup struct {
	machineNumber int
	attempt       uint64
	starting      bool
}

// encode returns a job's entry without the id.
func (j *ShardJob) encode(machines map[string]*ShardMachine) string {
	text := make([]byte, 0, 64)
	if len(j.Completed) > 0 {
		text = append(append(text, columnSeparator...), completedPrefix...)
		text = j.Completed.appendText(text)
	}
	var groups []attemptGroup // in the order of their first tasks
	tasks := map[attemptGroup]TaskSet{}
	for _, attempt := range j.Attempts {
		group := attemptGroup{machines[attempt.Machine].Number, attempt.Number, attempt.Starting}
		set, ok := tasks[group]
		if !ok {
			groups = append(groups, group)
		}
		tasks[group] = set.With(attempt.Task)
	}
	for _, group := range groups {
		text = group.appendText(append(text, columnSeparator...), tasks[group])
	}
	return string(text)
}

// appendText appends the attempts of a group.
func (g attemptGroup) appendText(text []byte, tasks TaskSet) []byte {
	separator := runningSeparator
	if g.starting {
		separator = startingSeparator
	}
	text = strconv.AppendInt(text, int64(g.machineNumber), numberBase)
	text = strconv.AppendUint(append(text, separator...), g.attempt, numberBase)
	if len(tasks) == 1 && tasks[0] == (Interval{0, 1}) {
		return text
	}
	return tasks.appendText(append(text, tasksSeparator...))
}

// appendPrefixCompressed appends s as the number of characters that it shares with last, and the rest.
func appendPrefixCompressed(text []byte, previous, s string) []byte {
	shared := 0
	for shared < maxSharedPrefix && shared < len(previous) && shared < len(s) && previous[shared] == s[shared] {
		shared++
	}
	return append(strconv.AppendInt(text, int64(shared), numberBase), s[shared:]...)
}

// MaxStartingBytes is what an attempt takes at most, in bytes, by being a group of its own: attempts that
// are starting stand apart from running ones that were assigned with them.
const MaxStartingBytes = 14

// completedFieldBytes is what a job with attempts takes at most once some of its tasks are completed, beside
// their numbers.
const completedFieldBytes = 2

// MaxEncodedSize returns how large the shard can get without another assignment, in bytes: as its attempts
// end in any order, ranges of them fall apart. What is assigned must always find room in the record.
func (s *Shard) MaxEncodedSize() int {
	_, size := s.Encode()
	for _, entry := range s.Jobs {
		if len(entry.Attempts) > 0 {
			size += completedFieldBytes
		}
		for _, attempt := range entry.Attempts {
			size += MaxTaskBytes(attempt.Task)
			if attempt.Starting {
				size += MaxStartingBytes
			}
		}
	}
	return size
}

// MaxTaskBytes is what one task's number and a separator take at most, in bytes.
func MaxTaskBytes(task int) int {
	n := 2
	for ; task >= 10; task /= 10 {
		n++
	}
	return n
}
