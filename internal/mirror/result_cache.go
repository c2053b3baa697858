package mirror

import "pipitgap/internal/storage"

// evictionDivisor sets the eviction batch of a full cache: about 1/evictionDivisor of its capacity.
const evictionDivisor = 16

// Result is the final state of a job.
type Result struct {
	State    storage.JobState
	Revision uint64 // version of the result record
}

// ResultCache caches the results of jobs and evicts the oldest entries first. Evicted results must be read from
// the state service.
type ResultCache struct {
	capacity       int
	results        map[string]Result
	insertionOrder []string
}

// NewResultCache returns an empty cache. Once full, it always keeps at least capacity results.
func NewResultCache(capacity int) *ResultCache {
	return &ResultCache{capacity: capacity, results: map[string]Result{}}
}

// Add caches the result of a job. It doesn't replace a result that is already cached.
func (c *ResultCache) Add(id string, result Result) {
	if _, ok := c.results[id]; ok {
		return
	}
	c.results[id] = result
	c.insertionOrder = append(c.insertionOrder, id)
	if batch := c.capacity/evictionDivisor + 1; len(c.insertionOrder) >= c.capacity+batch {
		for _, old := range c.insertionOrder[:batch] {
			delete(c.results, old)
		}
		c.insertionOrder = append([]string(nil), c.insertionOrder[batch:]...)
	}
}

// Get returns the result of a job; ok is false if it is not cached.
func (c *ResultCache) Get(id string) (result Result, ok bool) {
	result, ok = c.results[id]
	return result, ok
}
