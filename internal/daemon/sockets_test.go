package daemon

import "testing"

func TestSocketLimits(t *testing.T) {
	for _, tc := range []struct {
		name           string
		quota, setting int
		want           socketLimits
	}{
		{"quota 10", 10, 0, socketLimits{server: 16, workers: 2, commands: 2}},
		{"quota 100", 100, 0, socketLimits{server: 48, workers: 10, commands: 5}},
		{"quota 10000", 10000, 0, socketLimits{server: 7968, workers: 1000, commands: 128}},
		{"setting below the quota", 10000, 100, socketLimits{server: 48, workers: 10, commands: 5}},
		{"setting above the quota", 100, 10000, socketLimits{server: 48, workers: 10, commands: 5}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := newSocketLimits(tc.quota, tc.setting); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}
