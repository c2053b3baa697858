package loopback

import (
	"sync"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
)

// RealTimeClock runs a simulation in step with the wall clock. Its mutex serializes access to the simulation,
// so all access must go through Do.
type RealTimeClock struct {
	mu        sync.Mutex
	simulated *fake.SimClock
	startedAt time.Time
	stop      chan struct{}
	done      sync.WaitGroup
}

// tickInterval is the interval at which the simulation catches up with the wall clock.
const tickInterval = 2 * time.Millisecond

// NewRealTimeClock starts a clock that runs until Stop is called.
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

// Do runs the simulation up to the current wall-clock time and then calls f. No simulated event runs
// concurrently with f.
func (c *RealTimeClock) Do(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if behind := monotime.FromDuration(time.Since(c.startedAt)) - c.simulated.Now(); behind > 0 {
		c.simulated.Run(behind)
	}
	f()
}

// Advance moves the simulation forward by d immediately, without waiting.
func (c *RealTimeClock) Advance(d monotime.Micros) {
	c.mu.Lock()
	c.startedAt = c.startedAt.Add(-d.Duration())
	c.mu.Unlock()
	c.Do(func() {})
}

// Stop ends the clock and waits for its goroutine to exit.
func (c *RealTimeClock) Stop() {
	close(c.stop)
	c.done.Wait()
}
