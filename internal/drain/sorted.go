package drain

import (
	"cmp"
	"maps"
	"slices"
)

// compareNames orders names.
func compareNames(a, b string) int { return cmp.Compare(a, b) }

// sortedKeys gives a map's keys in order: decisions must not depend on the order of a map.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
