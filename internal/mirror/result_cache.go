package mirror

import "pipitgap/internal/storage"

// evictionDivisor sets the eviction batch of a full cache: about 1/evictionDivisor of its capacity.
const evictionDivisor = 16

// ResultCache caches the final states of jobs and evicts the oldest entries first. Evicted states must be
// read from the state service.
type ResultCache struct {
	capacity       int
	finalStates    map[string]storage.JobState
	insertionOrder []string
}

// NewResultCache returns an empty cache. Once full, it always keeps at least capacity results.
func NewResultCache(capacity int) *ResultCache {
	return &ResultCache{capacity: capacity, finalStates: map[string]storage.JobState{}}
}

// Add caches the final state of a job. It doesn't replace a state that is already cached.
func (c *ResultCache) Add(id string, state storage.JobState) {
	if _, ok := c.finalStates[id]; ok {
		return
	}
	c.finalStates[id] = state
	c.insertionOrder = append(c.insertionOrder, id)
	if batch := c.capacity/evictionDivisor + 1; len(c.insertionOrder) >= c.capacity+batch {
		for _, old := range c.insertionOrder[:batch] {
			delete(c.finalStates, old)
		}
		c.insertionOrder = append([]string(nil), c.insertionOrder[batch:]...)
	}
}

// Get returns the final state of a job; ok is false if it is not cached.
func (c *ResultCache) Get(id string) (storage.JobState, bool) {
	state, ok := c.finalStates[id]
	return state, ok
}
