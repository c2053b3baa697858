package loopback

import (
	"sync"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
)

// RealTimeClock runs a simulation in step with the wall clock. All access to the simulation goes through Do.
type RealTimeClock struct {
	mu        sync.Mutex
	simulated *fake.SimClock
	startedAt time.Time
	stop      chan struct{}
	done      sync.WaitGroup
}

// tickInterval is how finely the simulation follows the wall clock.
const tickInterval = 2 * time.Millisecond

// NewRealTimeClock starts the clock; Stop ends it.
func NewRealTimeClock(sim *fake.SimClock) *RealTimeClock {
	c := &RealTimeClock{simulated: sim, startedAt: time.Now(), stop: make(chan struct{})}
	c.done.Add(1)
	go c.run()
	return c
}

func (c *RealTimeClock) run() {
	defer c.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.Do(func() {})
		case <-c.stop:
			return
		}
	}
}

// Do runs the simulation up to the present and then calls f, with no event running at the same time.
func (c *RealTimeClock) Do(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if behind := monotime.FromDuration(time.Since(c.startedAt)) - c.simulated.Now(); behind > 0 {
		c.simulated.Run(behind)
	}
	f()
}

// Advance lets simulated time pass at once.
func (c *RealTimeClock) Advance(d monotime.Micros) {
	c.mu.Lock()
	c.startedAt = c.startedAt.Add(-d.Duration())
	c.mu.Unlock()
	c.Do(func() {})
}

// Stop ends the clock and waits until it has ended.
func (c *RealTimeClock) Stop() {
	close(c.stop)
	c.done.Wait()
}
