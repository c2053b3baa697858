package durations

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// Settings that the expected warnings name.
const (
	leaseSetting  = "facts.workers.lease_s"
	cancelSetting = "facts.workers.cancel_s"
)

// TestDurationsFollowPlatform: Derive computes the durations from the platform's settings, and Warnings reports
// settings that the design does not support, each with its consequence.
func TestDurationsFollowPlatform(t *testing.T) {
	for _, tc := range []struct {
		name       string
		workers    config.Workers
		membership float64
		renewal    float64
		warned     []string
	}{
		{
			"short leases", config.Workers{HeartbeatIntervalS: 0.8, LeaseS: 10, CancelTimeoutS: 30},
			5, 19, nil,
		},
		{
			"usual leases", config.Workers{HeartbeatIntervalS: 2, LeaseS: 12, CancelTimeoutS: 32},
			6, 19, nil,
		},
		{
			"long leases", config.Workers{HeartbeatIntervalS: 5, LeaseS: 28, CancelTimeoutS: 53},
			8, 24, nil,
		},
		{
			"lease ends before a successor takes over",
			config.Workers{HeartbeatIntervalS: 1, LeaseS: 6.5, CancelTimeoutS: 30},
			4, 22.5, []string{leaseSetting},
		},
		{
			"lease ends before the worker tries another controller too",
			config.Workers{HeartbeatIntervalS: 1, LeaseS: 5, CancelTimeoutS: 30},
			4, 24, []string{leaseSetting, leaseSetting},
		},
		{
			"leases outlast cancellations", config.Workers{HeartbeatIntervalS: 2, LeaseS: 30, CancelTimeoutS: 20},
			8, 3, []string{cancelSetting},
		},
	} {
		derived := Derive(tc.workers)
		if derived.MembershipTTL.Seconds() != tc.membership || derived.RenewalWindow.Seconds() != tc.renewal {
			t.Errorf(
				"%s: got membership TTL %v s and renewal window %v s, want %v s and %v s",
				tc.name,
				derived.MembershipTTL.Seconds(),
				derived.RenewalWindow.Seconds(),
				tc.membership,
				tc.renewal,
			)
		}
		warned := derived.Warnings()
		if len(warned) != len(tc.warned) {
			t.Errorf("%s: got warnings %v, want warnings for the fields %v", tc.name, warned, tc.warned)
			continue
		}
		for i, warning := range warned {
			if warning.Field != tc.warned[i] || warning.Consequence == "" {
				t.Errorf(
					"%s: warning %d: got %+v, want field %q and a consequence", tc.name, i, warning, tc.warned[i],
				)
			}
		}
	}
}

// TestTickWorkTakesAtMostATenthOfTheTime: NextDue returns one interval after the start of the work, or a later
// time so that the work takes at most a tenth of the time.
func TestTickWorkTakesAtMostATenthOfTheTime(t *testing.T) {
	cases := []struct{ begun, ended, interval, want monotime.Micros }{
		{0, 0, 100, 100},
		{50, 55, 100, 150},
		{50, 60, 100, 150},
		{50, 90, 100, 450},
	}
	for _, tc := range cases {
		if got := NextDue(tc.begun, tc.ended, tc.interval); got != tc.want {
			t.Errorf("%+v: got next due at %d, want %d", tc, got, tc.want)
		}
	}
}
