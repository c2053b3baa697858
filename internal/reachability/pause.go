package reachability

import (
	"log/slog"

	"pipitgap/internal/monotime"
)

const (
	// pauseThreshold is the time without any activity that shows a pause: ticks come every few tens of
	// milliseconds.
	pauseThreshold = 3 * monotime.Second / 2
	// staleAfterPause bounds how long a mirror from before a pause is distrusted. In an outage of the state
	// service the wait must be short, or the workers' leases would expire.
	staleAfterPause = monotime.Second / 2
)

// PauseDetector tells when the process was paused while its clocks ran: what it holds may have changed since,
// and what comes in may have waited for as long.
type PauseDetector struct {
	log            *slog.Logger
	lastActivityAt monotime.Micros // when it was last called; 0: never
	resumedAt      monotime.Micros // when the last pause ended; 0: there was none
}

// NewPauseDetector makes a detector that has seen no activity yet.
func NewPauseDetector(log *slog.Logger) *PauseDetector { return &PauseDetector{log: log} }

// DetectPause notes activity, and a pause if there was none for long. It is called before anything that comes
// in is used, and at every tick.
func (d *PauseDetector) DetectPause(now monotime.Micros) {
	if idle := now - d.lastActivityAt; d.lastActivityAt != 0 && idle > pauseThreshold {
		d.resumedAt = now
		d.log.Info("process pause detected", "duration_ms", idle.Milliseconds())
	}
	d.lastActivityAt = now
}

// ResumedFromPauseAt returns when the last pause ended; 0 is returned if there was none.
func (d *PauseDetector) ResumedFromPauseAt() monotime.Micros { return d.resumedAt }

// IsStale reports whether what was up to date at an instant must not be trusted, as a pause has ended since
// then and only a moment ago.
func (d *PauseDetector) IsStale(freshAt, now monotime.Micros) bool {
	return d.resumedAt > freshAt && now-d.resumedAt < staleAfterPause
}
