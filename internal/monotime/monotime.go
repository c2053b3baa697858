// Package monotime holds the one time type of the service: whole microseconds.
// Seconds and milliseconds exist only at the wire and in settings files.
package monotime

import (
	"math"
	"math/rand/v2"
	"time"
)

// Micros is a point in time or a span, in microseconds. Points are readings of a
// steady clock whose zero is the start of the process.
type Micros int64

// Common spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
)

// FromSeconds converts a wire amount, saturating far below overflow.
func FromSeconds(seconds float64) Micros {
	const maxMicros = 1e12 // about 11.6 days
	micros := seconds * float64(Second)
	if math.IsNaN(micros) || micros < 0 {
		return 0
	}
	return Micros(math.Min(micros, maxMicros))
}

// FromDuration converts a standard duration.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds returns the wire form.
func (t Micros) Seconds() float64 { return float64(t) / float64(Second) }

// Milliseconds returns whole milliseconds.
func (t Micros) Milliseconds() int64 { return int64(t / Millisecond) }

// Duration returns the standard form.
func (t Micros) Duration() time.Duration { return time.Duration(t) * time.Microsecond }

// RandomBelow draws a span of at least 0 and less than limit, which must be above 0.
func RandomBelow(random *rand.Rand, limit Micros) Micros {
	return Micros(random.Int64N(int64(limit)))
}

// NewClock returns a clock that counts from now and never steps.
func NewClock() func() Micros {
	start := time.Now()
	return func() Micros { return FromDuration(time.Since(start)) }
}
