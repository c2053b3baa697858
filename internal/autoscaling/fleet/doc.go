// Package fleet is the leader's reconciliation of the cloud's machines with the records: it requests the
// machines that package autoscaling plans, adopts machines that no record knows, and has machines terminated.
//
// Every request to the cloud is a record first. Its name holds the leader's term and a sequence number, and
// the cloud answers a repeated request of one name in the same way, so a new leader repeats the calls whose
// outcome it doesn't know. All commits are conditional on the leadership. What a leader knows beside the
// records (its termState) is dropped with its term: a new leader requests nothing before it has read the
// cloud's list to its end.
package fleet
