// Package autoscaling decides which machines to request from the cloud for unplaced tasks, and how long to
// keep empty machines.
//
// All decisions are pure functions of their inputs. A Snapshot of the records provides the demand (unplaced
// tasks within their teams' quotas) and the supply (Bins: machines that are up or requested, with their free
// resources). A Plan fills the bins with the demand, first-fit decreasing, and chooses offers for the
// remaining demand. Backoffs excludes jobs that no offer can run. The package makes no calls, writes no log
// and reads no clock. Package fleet requests the planned machines while its controller is the leader. Package
// scalein removes a controller's own empty machines.
package autoscaling
