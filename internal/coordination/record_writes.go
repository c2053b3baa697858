package coordination

// recordWrites are the records that this controller is changing: jobs by their id, others by their key.
type recordWrites map[string]bool

// Contains reports that a change is in flight.
func (w recordWrites) Contains(key string) bool { return w[key] }

// Begin marks a record.
func (w recordWrites) Begin(key string) { w[key] = true }

// End takes the mark off.
func (w recordWrites) End(key string) { delete(w, key) }
