package storage

import "strings"

// KeyPrefix is the prefix of every key that the scheduler stores. Its number increases when the layout of the
// records changes, so that no version misreads the records of another version.
const KeyPrefix = "gap2/"

// Kind is the kind of a record. It is part of the record's key.
type Kind string

// Kinds of records.
const (
	KindJobResult     Kind = "job"     // the final result of a job; never deleted
	KindOpenJob       Kind = "open"    // an unfinished job: its specification and task ranges
	KindShard         Kind = "page"    // some of a partition's machines, with the attempts on them
	KindPartition     Kind = "part"    // a partition's shares of the teams' limits
	KindMachineType   Kind = "type"    // a machine type, for controllers that start during an outage of the cloud
	KindScaleOut      Kind = "ask"     // a scale-out request
	KindScaleIn       Kind = "removal" // a scale-in request: machines being deleted, or confirmed as deleted
	KindMember        Kind = "member"  // a live controller
	KindLeader        Kind = "lead"    // the leader
	KindDrain         Kind = "drain"   // machines that operators take out of service
	KindPermits       Kind = "permit"  // a team's permits for planned evictions
	KindDrainRegistry Kind = "drains"  // the name of the newest drain; written with every new drain
)

// Key returns the key of a record.
func Key(kind Kind, name string) string { return KeyPrefix + string(kind) + "/" + name }

// JobResultKey returns the key of a job's final result.
func JobResultKey(jobID string) string { return Key(KindJobResult, jobID) }

// OpenJobKey returns the key of an unfinished job.
func OpenJobKey(jobID string) string { return Key(KindOpenJob, jobID) }

// ShardKey returns the key of a shard.
func ShardKey(name string) string { return Key(KindShard, name) }

// PartitionKey returns the key of the quota shares of a controller's partition.
func PartitionKey(node string) string { return Key(KindPartition, node) }

// MachineTypeKey returns the key of a machine type.
func MachineTypeKey(name string) string { return Key(KindMachineType, name) }

// ScaleOutKey returns the key of a scale-out request.
func ScaleOutKey(name string) string { return Key(KindScaleOut, name) }

// ScaleInKey returns the key of a scale-in request.
func ScaleInKey(name string) string { return Key(KindScaleIn, name) }

// MemberKey returns the key of a live controller's record.
func MemberKey(node string) string { return Key(KindMember, node) }

// DrainKey returns the key of a drain.
func DrainKey(name string) string { return Key(KindDrain, name) }

// PermitsKey returns the key of a team's permits for planned evictions.
func PermitsKey(team string) string { return Key(KindPermits, team) }

// LeaderKey is the only key of KindLeader.
const LeaderKey = KeyPrefix + string(KindLeader) + "/er"

// DrainRegistryKey is the only key of KindDrainRegistry. Starting a drain writes this key by
// compare-and-swap. When two drains start at the same time, only one of the writes succeeds. The other
// request must read the records again, which then include the first drain.
const DrainRegistryKey = KeyPrefix + string(KindDrainRegistry) + "/all"

// SplitKey returns the kind and the name of a key; ok is false for a key without KeyPrefix or without a "/"
// after the kind.
func SplitKey(key string) (kind Kind, name string, ok bool) {
	suffix, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	kindText, name, ok := strings.Cut(suffix, "/")
	return Kind(kindText), name, ok
}
