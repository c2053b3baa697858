package main

import (
	"fmt"
	"hash/fnv"
)

// ownerOf returns the controller that a machine's name falls to: the highest hash of controller and name, as the
// controllers divide machines (internal/membership). The cloud chooses names freely, as long as they increase, so a
// case can choose how its few machines fall to the controllers instead of trying until they do by chance.
func ownerOf(name string, nodes []string) string {
	best, owner := uint64(0), ""
	for _, node := range nodes {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(node + "\x00" + name))
		score := hash.Sum64()
		score ^= score >> 33
		score *= 0xff51afd7ed558ccd
		score ^= score >> 33
		if owner == "" || score > best {
			best, owner = score, node
		}
	}
	return owner
}

// nextOwnedBy returns the first number from atLeast on whose machine name falls to a controller.
func nextOwnedBy(node string, nodes []string, atLeast int) int {
	for ownerOf(fmt.Sprintf("i-%06d", atLeast), nodes) != node {
		atLeast++
	}
	return atLeast
}
