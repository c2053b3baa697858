// Package cancellation contains the only struct of the peer protocol that is sent in a slice. Gob names a slice
// type after the package and the type of its elements. Both names are therefore part of the wire format and
// frozen, like the field names, see package peerwire.
package cancellation

// Committed is a job cancellation that is committed in the state service.
type Committed struct {
	Job      string
	Revision uint64 // revision of the commit
}
