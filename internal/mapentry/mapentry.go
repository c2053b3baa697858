// Package mapentry finds entries of maps that are made when they are first needed.
package mapentry

// GetOrNew returns the entry of a key. A missing one is added with its zero value.
func GetOrNew[Key comparable, Value any](entries map[Key]*Value, key Key) *Value {
	entry := entries[key]
	if entry == nil {
		entry = new(Value)
		entries[key] = entry
	}
	return entry
}
