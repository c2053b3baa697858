package storage

import "strings"

// KeyPrefix is the prefix of every key of the service. Its number grows when the layout of records changes,
// so that no version misreads the records of another.
const KeyPrefix = "gap2/"

// Kind is a kind of records, as it stands in the keys.
type Kind string

// Kinds of records.
const (
	KindJobResult     Kind = "job"     // the final result of a job, kept for ever
	KindOpenJob       Kind = "open"    // an unfinished job: its specification and task ranges
	KindShard         Kind = "page"    // some machines of a partition with the attempts on them
	KindPartition     Kind = "part"    // a partition's quota shares of the teams' limits
	KindMachineType   Kind = "type"    // a machine type, for restarts during the cloud's outages
	KindScaleOut      Kind = "ask"     // a scale-out request
	KindScaleIn       Kind = "removal" // a scale-in request: machines being deleted, or proven gone
	KindMember        Kind = "member"  // a live controller
	KindLeader        Kind = "lead"    // the leader
	KindDrain         Kind = "drain"   // machines to be taken out of service
	KindPermits       Kind = "permit"  // a team's planned evictions
	KindDrainRegistry Kind = "drains"  // changes with every new drain
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

// PermitsKey returns the key of a team's planned evictions.
func PermitsKey(team string) string { return Key(KindPermits, team) }

// LeaderKey is the one key of its kind.
const LeaderKey = KeyPrefix + string(KindLeader) + "/er"

// DrainRegistryKey is the one key of its kind. Whoever starts a drain writes it by compare-and-swap, so that
// of two drains started at the same time the second is decided with knowledge of the first.
const DrainRegistryKey = KeyPrefix + string(KindDrainRegistry) + "/all"

// SplitKey returns the kind and the name of a key; ok is false for keys that aren't the service's.
func SplitKey(key string) (kind Kind, name string, ok bool) {
	suffix, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	kindText, name, ok := strings.Cut(suffix, "/")
	return Kind(kindText), name, ok
}
