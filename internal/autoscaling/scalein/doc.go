// Package scalein has a controller's own empty machines removed. Every controller does so for its own
// machines, since it alone writes their shards; the leader then has them terminated, see package fleet.
package scalein
