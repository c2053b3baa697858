package loopback

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lockedRandom is a source of random numbers for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{random: rand.New(rand.NewPCG(seed, 19))}
}

// chance returns true with the given probability.
func (r *lockedRandom) chance(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

// between returns a random duration.
func (r *lockedRandom) between(least, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// intN returns a random number below n.
func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}
