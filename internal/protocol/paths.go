package protocol

import (
	"fmt"
	"strings"
)

// Paths of the service that users and workers send to.
const (
	JobsPath      = "/v2/runs" // submissions
	HeartbeatPath = "/checkin" // workers' reports

	cancelSuffix = "/abort"
)

// Paths of the state service.
const (
	KeysPath   = "/kv" // lists; KeyPath reads one key
	CommitPath = "/commit"
	LeasesPath = "/leases" // grants; KeepAlivePath renews one
	WatchPath  = "/watch"

	keepAliveSuffix = "/touch"
)

// Paths of the cloud.
const (
	CatalogPath        = "/catalog"
	MachinesPath       = "/rentals" // lists (GET) and requests (POST) machines
	DeleteMachinesPath = "/rentals/delete"
)

// Paths of a worker.
const (
	WorkerCommandsPath = "/do"
	WorkerReportPath   = "/show"
)

// JobPath is the path of a job's status.
func JobPath(id string) string { return JobsPath + "/" + id }

// CancelPath is the path of a job's cancellation.
func CancelPath(id string) string { return JobPath(id) + cancelSuffix }

// ParseJobPath takes a path of JobPath or CancelPath apart; ok is false for any other path.
func ParseJobPath(path string) (id string, cancel, ok bool) {
	rest, ok := strings.CutPrefix(path, JobsPath+"/")
	if !ok {
		return "", false, false
	}
	id, cancel = strings.CutSuffix(rest, cancelSuffix)
	return id, cancel, true
}

// KeyPath is the path of a key of the state service.
func KeyPath(key string) string { return KeysPath + "/" + key }

// ParseKeyPath takes a path of KeyPath apart.
func ParseKeyPath(path string) (key string, ok bool) { return strings.CutPrefix(path, KeysPath+"/") }

// KeepAlivePath is the path that renews a lease of the state service.
func KeepAlivePath(lease uint64) string {
	return fmt.Sprintf("%s/%d%s", LeasesPath, lease, keepAliveSuffix)
}

// ParseKeepAlivePath takes a path of KeepAlivePath apart; the lease is returned as it stands there.
func ParseKeepAlivePath(path string) (lease string, ok bool) {
	rest, ok := strings.CutPrefix(path, LeasesPath+"/")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, keepAliveSuffix)
}
