package mirror

import "pipitgap/internal/storage"

// evictionDivisor is which part of its capacity a full cache forgets at a time.
const evictionDivisor = 16

// ResultCache remembers the final states of jobs and forgets the oldest first; what is forgotten is read from
// the state service again.
type ResultCache struct {
	capacity       int
	finalStates    map[string]storage.JobState
	insertionOrder []string
}

// NewResultCache makes a cache of at least so many results.
func NewResultCache(capacity int) *ResultCache {
	return &ResultCache{capacity: capacity, finalStates: map[string]storage.JobState{}}
}

// Add remembers the final state of a job; the first one stays.
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

// Get returns the final state of a job, if it is remembered.
func (c *ResultCache) Get(id string) (storage.JobState, bool) {
	state, ok := c.finalStates[id]
	return state, ok
}
