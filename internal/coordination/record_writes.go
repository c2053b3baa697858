package coordination

// recordWrites is the set of records with a write by this controller in flight. A key is the ID of a job or
// the key of another record.
type recordWrites map[string]bool

// Contains reports whether a write of a record is in flight.
func (w recordWrites) Contains(key string) bool { return w[key] }

// Begin adds a record when a write of it starts.
func (w recordWrites) Begin(key string) { w[key] = true }

// End removes a record when its write has an outcome.
func (w recordWrites) End(key string) { delete(w, key) }
