package durations

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// Settings that warnings name.
const (
	leaseSetting  = "facts.workers.lease_s"
	cancelSetting = "facts.workers.cancel_s"
)

// TestDurationsFollowPlatform: bounds follow the platform's durations, and a platform whose durations the
// design doesn't cover is warned of at start, with the consequence.
func TestDurationsFollowPlatform(t *testing.T) {
	for _, tc := range []struct {
		name       string
		workers    config.Workers
		membership float64
		renewal    float64
		warned     []string
	}{
		{
			"short leases", config.Workers{HeartbeatIntervalS: 0.8, LeaseS: 10, CancelWithinS: 30},
			5, 19, nil,
		},
		{
			"usual leases", config.Workers{HeartbeatIntervalS: 2, LeaseS: 12, CancelWithinS: 32},
			6, 19, nil,
		},
		{
			"long leases", config.Workers{HeartbeatIntervalS: 5, LeaseS: 28, CancelWithinS: 53},
			8, 24, nil,
		},
		{
			"no time for a successor", config.Workers{HeartbeatIntervalS: 1, LeaseS: 6.5, CancelWithinS: 30},
			4, 22.5, []string{leaseSetting},
		},
		{
			"nor for another controller", config.Workers{HeartbeatIntervalS: 1, LeaseS: 5, CancelWithinS: 30},
			4, 24, []string{leaseSetting, leaseSetting},
		},
		{
			"leases outlast cancellations", config.Workers{HeartbeatIntervalS: 2, LeaseS: 30, CancelWithinS: 20},
			8, 3, []string{cancelSetting},
		},
	} {
		derived := Derive(tc.workers)
		if derived.MembershipTTL.Seconds() != tc.membership || derived.RenewalWindow.Seconds() != tc.renewal {
			t.Errorf(
				"%s: membership %v s, renewal %v s",
				tc.name,
				derived.MembershipTTL.Seconds(),
				derived.RenewalWindow.Seconds(),
			)
		}
		warned := derived.Warnings()
		if len(warned) != len(tc.warned) {
			t.Errorf("%s: warned %v, want of %v", tc.name, warned, tc.warned)
			continue
		}
		for i, warning := range warned {
			if warning.Field != tc.warned[i] || warning.Consequence == "" {
				t.Errorf("%s: warned %v, want of %v", tc.name, warning, tc.warned[i])
			}
		}
	}
}

// TestTickWorkTakesAtMostATenthOfTheTime: work is due after its interval, and takes a tenth of the time at
// most.
func TestTickWorkTakesAtMostATenthOfTheTime(t *testing.T) {
	cases := []struct{ begun, ended, interval, want monotime.Micros }{
		{0, 0, 100, 100},
		{50, 55, 100, 150},
		{50, 60, 100, 150},
		{50, 90, 100, 450},
	}
	for _, tc := range cases {
		if got := NextDue(tc.begun, tc.ended, tc.interval); got != tc.want {
			t.Errorf("%+v: due at %d", tc, got)
		}
	}
}
