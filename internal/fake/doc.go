// Package fake holds fakes of the state service, the cloud and the workers, written from the protocol, under
// a simulated clock, and a checker of the invariants that a scheduler must keep. Tests drive the
// controllers with them; nothing here is part of the service.
package fake
