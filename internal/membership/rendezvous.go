package membership

import "hash/fnv"

// RendezvousOwner returns the controller that a key belongs to by rendezvous hashing: when one of them goes,
// only its own keys move. It returns "" if there are no controllers.
func RendezvousOwner(key string, controllers []string) string {
	bestScore, owner := uint64(0), ""
	for _, node := range controllers {
		if score := rendezvousScore(node, key); owner == "" || score > bestScore {
			bestScore, owner = score, node
		}
	}
	return owner
}

// rendezvousScore hashes a controller with a key; the controller with the highest score owns the key.
func rendezvousScore(node, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node + "\x00" + key))
	score := hash.Sum64()
	// The last bytes that FNV takes hardly reach its high bits; these steps of a finalizer spread them.
	score ^= score >> 33
	score *= 0xff51afd7ed558ccd
	score ^= score >> 33
	return score
}
