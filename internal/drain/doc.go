// Package drain decides how to take machines out of service step by step, without any team's services falling
// below their disruption budgets.
//
// All decisions are pure functions of an immutable Snapshot of the records: they return the records to write
// and the replicas to stop. The package makes no calls and reads no clock. Package drainer carries out the
// decisions, and the operators' commands show them.
//
// A drain stops a replica only under a permit. One record holds all permits of a team, and every write to it
// is a compare-and-swap on the record's version, so two drains or two controllers can't use the same part of
// a budget twice. A replica under a permit counts as unavailable until the records show that its replacement
// is running. docs/drains-design.md gives the full argument.
package drain
