// Package cancellation holds the one struct of package peerwire that is sent in a slice. Gob names
// a slice by its element's package and type, so both names are on the wire and frozen, like
// the field names; see package peerwire.
package cancellation

// Committed is a cancellation that the state service holds.
type Committed struct {
	Job      string
	Revision uint64 // of its commit
}
