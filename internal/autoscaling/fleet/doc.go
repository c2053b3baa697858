// Package fleet reconciles the cloud's machines with the records in the state service while its controller is
// the leader. It requests the machines that package autoscaling plans, adopts machines that no record names,
// and terminates machines.
//
// The leader writes every request to the cloud as a record before it makes the call. The record's name
// contains the leader's term and a sequence number and serves as an idempotency key: the cloud answers a
// repeated request of the same name in the same way. A new leader therefore repeats the calls whose outcome
// it doesn't know. All commits are conditional on the leadership. A leader's state outside the records
// (termState) is discarded when its term ends. A new leader requests no machines before it has read the
// cloud's machine list to its end.
package fleet
