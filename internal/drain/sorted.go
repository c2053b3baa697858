package drain

import (
	"cmp"
)

// compareNames orders names.
func compareNames(a, b string) int { return cmp.Compare(a, b) }
