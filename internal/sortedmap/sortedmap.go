// Package sortedmap walks maps in the order of their keys. Decisions must not depend on the order of a map:
// the same input has to give the same calls of the state service, the cloud and the workers.
package sortedmap

import (
	"cmp"
	"slices"
)

// Keys returns the keys of a map in order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
