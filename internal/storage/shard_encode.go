package storage

import (
	"strconv"

	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// Upper bounds for the JSON form of a shard's record, without the strings that it contains, in bytes.
const (
	shardRecordBytes = 120 // the record without its machine kinds
	machineKindBytes = 14  // one machine kind
)

// Encode returns the stored form of the shard and an upper bound, in bytes, on the size that the state
// service counts for it.
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

// encodeMachines returns the machines' entries, ordered by id, and the machine kinds to which they refer by
// index.
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

// attemptGroup holds the properties shared by attempts of a job that were assigned together. They are
// encoded as one group.
type attemptGroup struct {
	machineNumber int
	attempt       uint64
	starting      bool
}

// encode returns the text form of a job's entry without the job id.
func (j *ShardJob) encode(machines map[string]*ShardMachine) string {
	text := make([]byte, 0, 64)
	if len(j.Completed) > 0 {
		text = append(append(text, columnSeparator...), completedPrefix...)
		text = j.Completed.appendText(text)
	}
	var groups []attemptGroup // ordered by first task
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

// appendText appends the text form of a group with its tasks.
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

// appendPrefixCompressed appends s in prefix-compressed form: the number of leading characters that it shares
// with previous, then the remaining characters.
func appendPrefixCompressed(text []byte, previous, s string) []byte {
	shared := 0
	for shared < maxSharedPrefix && shared < len(previous) && shared < len(s) && previous[shared] == s[shared] {
		shared++
	}
	return append(strconv.AppendInt(text, int64(shared), numberBase), s[shared:]...)
}

// MaxStartingBytes is the maximum size in bytes that one starting attempt adds to the encoded shard. A
// starting attempt is encoded in a separate group from running attempts that were assigned with it.
const MaxStartingBytes = 14

// completedFieldBytes is the maximum size in bytes that completed tasks add to the entry of a job with
// attempts, without the task numbers.
const completedFieldBytes = 2

// MaxEncodedSize returns an upper bound in bytes on the encoded size of the shard as long as nothing more is
// assigned. The encoding can grow when attempts end in arbitrary order, because one range of tasks splits
// into many. Whatever has been assigned must always fit into the record.
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

// MaxTaskBytes returns the maximum size in bytes of a task's number with a separator.
func MaxTaskBytes(task int) int {
	n := 2
	for ; task >= 10; task /= 10 {
		n++
	}
	return n
}
