// Package fake implements fakes of the state service, the cloud and the workers, and a checker of the
// invariants that a scheduler must keep. The fakes follow the protocol and run on a simulated clock. Only
// tests use this package: they run the controllers against the fakes.
package fake
