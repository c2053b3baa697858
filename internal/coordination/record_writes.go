package coordination

// recordWrites are the records that this controller is changing: jobs by their id, others by their key.
type recordWrites map[string]bool

// Contains reports that a change is in flight.
func (w recordWrites) Contains(name string) bool { return w[name] }

// Begin marks a record.
func (w recordWrites) Begin(name string) { w[name] = true }

// End takes the mark off.
func (w recordWrites) End(name string) { delete(w, name) }
