// Package quotashares keeps one controller's shares of the teams' limits in the state service.
//
// The Manager raises a share when tasks wait because the share is too small, lowers a share that isn't fully
// used, moves shares along with tasks whose shards change owner, and deletes the shares of departed
// controllers.
//
// Concurrency control is optimistic. A raise is conditional on the versions of all controllers' records, and
// a lowering on the version of the controller's own record. Every assignment of a limited team's task is
// conditional on the version of that record as well. The shares of a limit therefore never add up to more
// than the limit.
package quotashares
