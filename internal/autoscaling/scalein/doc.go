// Package scalein marks a controller's own empty machines for removal. Every controller does so for its own
// machines, because only the owner writes their shards. The leader then terminates the machines, see package
// fleet.
package scalein
