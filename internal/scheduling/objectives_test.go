package scheduling

import (
	"math"
	"slices"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/storage"
)

func TestLatestStarts(t *testing.T) {
	objectives := []config.Objective{
		{Kind: "finished", Class: "x", LimitS: 100},
		{Kind: "wait", Class: "x", LimitS: 20},
		{Kind: "deadline", Class: "x", DeadlineMultiple: 1.5},
		{Kind: "wait", Class: "y", LimitS: 5},
	}
	for _, tc := range []struct {
		name string
		spec storage.JobSpec
		want []float64
	}{
		{"objectives of its class", storage.JobSpec{Class: "x"}, []float64{20, 90}},
		{"with a deadline", storage.JobSpec{Class: "x", DeadlineS: 40}, []float64{20, 50, 90}},
		{"with a deadline but no deadline objective",
			storage.JobSpec{Class: "y", DeadlineS: 40}, []float64{5, 30}},
		{"no objective", storage.JobSpec{Class: "z"}, []float64{math.Inf(1)}},
		{"service", storage.JobSpec{Class: "x", Service: true}, []float64{math.Inf(1)}},
	} {
		if got := LatestStarts(objectives, &tc.spec, 10); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestSlackOf(t *testing.T) {
	for _, tc := range []struct {
		name    string
		starts  []float64
		age     float64
		want    Slack
		canMeet bool
	}{
		{"before the first latest start", []float64{20, 90}, 5, Slack{15, 0}, true},
		{"exactly at the first latest start", []float64{20, 90}, 20, Slack{0, 0}, true},
		{"past the first latest start", []float64{20, 90}, 21, Slack{69, 1}, true},
		{"past all latest starts", []float64{20, 90}, 100, Slack{-10, 2}, false},
		{"without an objective", []float64{math.Inf(1)}, 1000, Slack{math.Inf(1), 0}, false},
	} {
		got := SlackOf(tc.starts, tc.age)
		if got != tc.want || got.CanMeetObjective() != tc.canMeet {
			t.Errorf("%s: got %+v, can meet an objective %v; want %+v, %v",
				tc.name, got, got.CanMeetObjective(), tc.want, tc.canMeet)
		}
	}
}
