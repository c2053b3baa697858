package mirror

import "pipitgap/internal/storage"

// ResultCache remembers final answers, the oldest forgotten first: whatever is
// forgotten is read from the store again.
type ResultCache struct {
	capacity       int
	statuses       map[string]storage.JobState
	insertionOrder []string
}

// NewResultCache makes a cache of at least so many results.
func NewResultCache(most int) *ResultCache {
	return &ResultCache{capacity: most, statuses: map[string]storage.JobState{}}
}

// Add remembers the final state of a job; the first one stays.
func (f *ResultCache) Add(id string, status storage.JobState) {
	if _, ok := f.statuses[id]; ok {
		return
	}
	f.statuses[id] = status
	f.insertionOrder = append(f.insertionOrder, id)
	if batch := f.capacity/16 + 1; len(f.insertionOrder) >= f.capacity+batch {
		for _, old := range f.insertionOrder[:batch] {
			delete(f.statuses, old)
		}
		f.insertionOrder = append([]string(nil), f.insertionOrder[batch:]...)
	}
}

// Get gives the final state of a job, if it is remembered.
func (f *ResultCache) Get(id string) (storage.JobState, bool) {
	status, ok := f.statuses[id]
	return status, ok
}
