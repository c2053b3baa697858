// Package mapentry looks up map entries and creates missing ones on first use.
package mapentry

// GetOrNew returns the entry for key. If the entry is missing or nil, it adds a pointer to a zero value.
func GetOrNew[Key comparable, Value any](entries map[Key]*Value, key Key) *Value {
	entry := entries[key]
	if entry == nil {
		entry = new(Value)
		entries[key] = entry
	}
	return entry
}
