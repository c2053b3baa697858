// Package drainer carries out, on one controller, what package drain decides: it commits permits, has
// replicas and array tasks stopped on own machines, reserves capacity for replicas that are moved, and ends
// drains while its controller is the leader.
//
// A nil *Drainer is one that the settings turn off: its methods then do nothing.
package drainer
