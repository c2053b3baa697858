package protocol

import (
	"fmt"
	"strings"
)

// Paths of the controller's own API for users and workers.
const (
	JobsPath      = "/v2/runs" // POST submits a job; JobPath is the path of a single job
	HeartbeatPath = "/checkin" // receives the workers' heartbeats

	cancelSuffix = "/abort"
)

// Paths of the state service.
const (
	KeysPath   = "/kv" // lists keys; KeyPath is the path of a single key
	CommitPath = "/commit"
	LeasesPath = "/leases" // grants leases; KeepAlivePath renews a lease
	WatchPath  = "/watch"

	keepAliveSuffix = "/touch"
)

// Paths of the cloud's API.
const (
	CatalogPath        = "/catalog"
	MachinesPath       = "/rentals" // GET lists machines, POST creates machines
	DeleteMachinesPath = "/rentals/delete"
)

// Paths of a worker's API.
const (
	WorkerCommandsPath = "/do"
	WorkerReportPath   = "/show"
)

// JobPath returns the path of a job's status.
func JobPath(id string) string { return JobsPath + "/" + id }

// CancelPath returns the path that cancels a job.
func CancelPath(id string) string { return JobPath(id) + cancelSuffix }

// ParseJobPath parses a path of JobPath or CancelPath. ok is false for any other path.
func ParseJobPath(path string) (id string, cancel, ok bool) {
	jobPath, ok := strings.CutPrefix(path, JobsPath+"/")
	if !ok {
		return "", false, false
	}
	id, cancel = strings.CutSuffix(jobPath, cancelSuffix)
	return id, cancel, true
}

// KeyPath returns the path of a key of the state service.
func KeyPath(key string) string { return KeysPath + "/" + key }

// ParseKeyPath parses a path of KeyPath. ok is false for any other path.
func ParseKeyPath(path string) (key string, ok bool) { return strings.CutPrefix(path, KeysPath+"/") }

// KeepAlivePath returns the path that renews a lease of the state service.
func KeepAlivePath(lease uint64) string {
	return fmt.Sprintf("%s/%d%s", LeasesPath, lease, keepAliveSuffix)
}

// ParseKeepAlivePath parses a path of KeepAlivePath. The lease is returned as text and may not be a number.
// ok is false for any other path.
func ParseKeepAlivePath(path string) (lease string, ok bool) {
	leasePath, ok := strings.CutPrefix(path, LeasesPath+"/")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(leasePath, keepAliveSuffix)
}
