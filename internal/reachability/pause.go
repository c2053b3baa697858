package reachability

import (
	"log/slog"

	"pipitgap/internal/monotime"
)

const (
	// pauseThreshold is the longest time without activity that is not a pause. Ticks occur every few tens of
	// milliseconds.
	pauseThreshold = 3 * monotime.Second / 2
	// staleAfterPause bounds how long after a pause a mirror from before the pause is distrusted. It is short
	// because during an outage of the state service the mirror is not updated, and the workers' leases would
	// expire.
	staleAfterPause = monotime.Second / 2
)

// PauseDetector detects that the process was paused while the clocks kept running. After a pause, the mirror
// may be outdated, and incoming messages may have been queued for as long as the pause lasted.
type PauseDetector struct {
	log            *slog.Logger
	lastActivityAt monotime.Micros // time of the last DetectPause call; 0: none
	resumedAt      monotime.Micros // when the last pause ended; 0: no pause
}

// NewPauseDetector creates a detector without recorded activity.
func NewPauseDetector(log *slog.Logger) *PauseDetector { return &PauseDetector{log: log} }

// DetectPause records activity at now. It records a pause that ends now if the previous activity was more
// than pauseThreshold ago. The controller calls it at every tick and before it handles an incoming message.
func (d *PauseDetector) DetectPause(now monotime.Micros) {
	if idle := now - d.lastActivityAt; d.lastActivityAt != 0 && idle > pauseThreshold {
		d.resumedAt = now
		d.log.Info("process pause detected", "duration_ms", idle.Milliseconds())
	}
	d.lastActivityAt = now
}

// LastPauseEndedAt returns when the last pause ended, or 0 if there was no pause.
func (d *PauseDetector) LastPauseEndedAt() monotime.Micros { return d.resumedAt }

// IsStale reports whether data that was last known to be current at freshAt must not be trusted: a pause
// ended after freshAt, and less than staleAfterPause ago.
func (d *PauseDetector) IsStale(freshAt, now monotime.Micros) bool {
	return d.resumedAt > freshAt && now-d.resumedAt < staleAfterPause
}
