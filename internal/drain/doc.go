// Package drain decides how machines are taken out of service step by step, without any
// team's services falling below their disruption budgets.
//
// All decisions are pure: they read an immutable Snapshot of the records and say what to
// write and which replicas to stop. The package makes no calls and holds no clock;
// package drainer carries the decisions out, and the operators' commands show them.
//
// A replica is stopped for a drain only under a permit. All permits of a team stand in one
// record, each change of which is conditional on the record's version, so two drains, or two
// controllers, can't spend the same room twice. A permit counts as an unavailable replica until
// the records show its replacement running. docs/drains-design.md has the argument.
package drain
