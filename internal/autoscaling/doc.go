// Package autoscaling decides which machines to request from the cloud for the tasks that find no room, and
// for how long machines that nothing runs on are kept.
//
// All decisions are pure: a Snapshot of the records gives the demand (tasks without room that the quotas let
// run) and the supply (Bins: machines that are up or requested, with what they have free); a Plan fills the
// bins with the demand, first-fit decreasing, and chooses offers for what is left; Backoffs leaves out jobs
// that no offer can take. The package makes no calls, writes no log and holds no clock: package fleet carries
// its plans out while its controller is the leader, package scalein removes a controller's own empty
// machines.
package autoscaling
