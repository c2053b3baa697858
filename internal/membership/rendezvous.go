package membership

import "hash/fnv"

// RendezvousOwner returns the controller that owns a key by rendezvous hashing. After the removal of a
// controller only the keys of that controller change their owner. It returns "" for an empty list of
// controllers.
func RendezvousOwner(key string, controllers []string) string {
	bestScore, owner := uint64(0), ""
	for _, node := range controllers {
		if score := rendezvousScore(node, key); owner == "" || score > bestScore {
			bestScore, owner = score, node
		}
	}
	return owner
}

// rendezvousScore returns the hash of a controller and a key. The controller with the highest score owns the
// key.
func rendezvousScore(node, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node + "\x00" + key))
	score := hash.Sum64()
	// The last input bytes hardly affect the high bits of an FNV hash. These finalizer steps spread their effect.
	score ^= score >> 33
	score *= 0xff51afd7ed558ccd
	score ^= score >> 33
	return score
}
