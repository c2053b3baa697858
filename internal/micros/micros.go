// Package micros holds the one time type of the service: whole microseconds.
// Seconds and milliseconds exist only at the wire and in settings files.
package micros

import (
	"math"
	"time"
)

// T is a point in time or a span, in microseconds. Points are readings of a
// steady clock whose zero is the start of the process.
type T int64

// Common spans.
const (
	Millisecond T = 1000
	Second      T = 1000 * Millisecond
	Minute      T = 60 * Second
)

// FromSeconds converts a wire amount, saturating far below overflow.
func FromSeconds(s float64) T {
	const most = 1e12 // some 11 days in microseconds times 1000
	v := s * float64(Second)
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return T(math.Min(v, most))
}

// FromDuration converts a standard duration.
func FromDuration(d time.Duration) T { return T(d / time.Microsecond) }

// Seconds gives the wire form.
func (t T) Seconds() float64 { return float64(t) / float64(Second) }

// Millis gives whole milliseconds.
func (t T) Millis() int64 { return int64(t / Millisecond) }

// Duration gives the standard form.
func (t T) Duration() time.Duration { return time.Duration(t) * time.Microsecond }

// Steady returns a clock that counts from now and never steps.
func Steady() func() T {
	start := time.Now()
	return func() T { return FromDuration(time.Since(start)) }
}
