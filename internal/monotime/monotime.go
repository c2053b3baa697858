// Package monotime defines Micros, the only time type of the service, in whole microseconds.
// Seconds and milliseconds occur only in wire formats and settings files.
package monotime

import (
	"math"
	"math/rand/v2"
	"time"
)

// Micros is an instant or a duration in microseconds. An instant is a reading of a
// monotonic clock that is zero when the process starts.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
)

// FromSeconds converts seconds, the unit of wire formats. The result saturates far below overflow. NaN and
// negative values become 0.
func FromSeconds(seconds float64) Micros {
	const maxMicros = 1e12 // about 11.6 days
	micros := seconds * float64(Second)
	if math.IsNaN(micros) || micros < 0 {
		return 0
	}
	return Micros(math.Min(micros, maxMicros))
}

// FromDuration converts a time.Duration. It drops fractions of a microsecond.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds returns t in seconds, the unit of wire formats.
func (t Micros) Seconds() float64 { return float64(t) / float64(Second) }

// Milliseconds returns t in whole milliseconds; it drops the fraction.
func (t Micros) Milliseconds() int64 { return int64(t / Millisecond) }

// Duration returns t as a time.Duration.
func (t Micros) Duration() time.Duration { return time.Duration(t) * time.Microsecond }

// RandomBelow returns a uniformly distributed duration in [0, limit). limit must be positive.
func RandomBelow(random *rand.Rand, limit Micros) Micros {
	return Micros(random.Int64N(int64(limit)))
}

// NewClock returns a monotonic clock that starts at 0 now. Steps of the wall clock do not affect it.
func NewClock() func() Micros {
	start := time.Now()
	return func() Micros { return FromDuration(time.Since(start)) }
}
