package coordination

// recordWrites are the records that this controller is changing: jobs by their id, others by their key.
type recordWrites map[string]bool

// Contains reports that a change is in flight.
func (w recordWrites) Contains(record string) bool { return w[record] }

// Begin marks a record.
func (w recordWrites) Begin(record string) { w[record] = true }

// End takes the mark off.
func (w recordWrites) End(record string) { delete(w, record) }
