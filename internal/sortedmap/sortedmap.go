// Package sortedmap returns the keys of maps in sorted order, for deterministic iteration. Decisions must not
// depend on Go's random map order: the same input must lead to the same calls to the state service, the cloud
// and the workers.
package sortedmap

import (
	"cmp"
	"slices"
)

// Keys returns the keys of a map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
