// Package quota evaluates the teams' resource limits and guarantees, and decides how a controller's share of
// a team's limit should change.
//
// Each team's limit is divided into shares, one per controller, so that controllers can assign tasks without
// contending for a common record. The tasks in a controller's shards use at most the controller's share, and
// the shares of all controllers add up to at most the limit. All decisions are pure functions of their
// arguments. Package quotashares reads the records, calls these functions and commits their decisions.
package quota
