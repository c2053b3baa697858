// Package quota decides what a team may use: its limits and guarantees, and how a controller's share of a
// limit should change.
//
// A team's limit is divided into shares, one a controller, so that controllers can assign tasks without a
// common record: what the tasks in a controller's shards take is at most its share, and all shares together
// are at most the limit. All decisions are pure functions of their arguments; package quotashares reads the
// records, calls them and commits what they decide.
package quota
