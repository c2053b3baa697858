// Package drainer carries out the decisions of package drain on one controller: it commits permits, stops
// replicas and array tasks on the machines of this controller, reserves capacity for replicas that are moved,
// and ends drains while its controller is the leader.
//
// A nil *Drainer is valid: the settings don't enable drains, and its methods do nothing.
package drainer
