// Package quotashares keeps one controller's shares of the teams' limits in the state service.
//
// The Manager raises a share when assignments lack some of it, lowers it when it isn't used, has it follow
// tasks that go over with their shards, and deletes the shares of controllers that have departed. A raise is
// conditional on the records of all controllers, a lowering on the controller's own; every assignment of a
// limited team's task is conditional on that record too, so the shares of a limit never add up to more than
// it.
package quotashares
