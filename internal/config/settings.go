package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"unicode"

	"github.com/goccy/go-yaml"

	"pipitgap/internal/monotime"
)

// Settings are the operators' own. The defaults are the design's starting values.
type Settings struct {
	AutoscalingInterval Duration `yaml:"pass_interval"`  // the leader's autoscaler pass
	OfferQuarantine     Duration `yaml:"unmet_ttl"`      // how long an offer without capacity is quarantined
	ReadinessTimeout    Duration `yaml:"readiness_wait"` // a machine not up by then is terminated
	// ScaleDownDelay is the time from closing an empty machine to its removal.
	ScaleDownDelay Duration `yaml:"scale_down_delay"`
	BackoffFirst   Duration `yaml:"backoff_first"`  // first pause of a job that no offer can take
	BackoffMax     Duration `yaml:"backoff_most"`   // its ceiling
	BackoffPasses  int      `yaml:"backoff_passes"` // passes without success before the first pause
	// ScaleInAttempts is the number of quick tries before a scale-in request is flagged as failed.
	ScaleInAttempts      int      `yaml:"removal_tries"`
	ScaleInRetryInterval Duration `yaml:"removal_pause"` // pause between tries of a flagged request
	// ExpectedCapacity is the part of a type's boot time within which what running
	// tasks will release counts as supply. The design counts none of it.
	ExpectedCapacity float64 `yaml:"expected_room"`
	// ExpectedOnDemandCapacity is the same for on-demand machines that would be requested
	// for tasks that may use spot machines; at least ExpectedCapacity.
	ExpectedOnDemandCapacity float64 `yaml:"expected_room_ordinary"`
	// ServiceHeadroom is the part of what each class of services uses that is kept
	// free, or in use by what a service may preempt, for services yet to come.
	ServiceHeadroom float64 `yaml:"service_headroom"`
	// OverdueBootFactor is after how many boot times a machine that isn't up no longer
	// counts as supply for services, and after half as many again for anything; 0:
	// it counts until the readiness wait ends.
	OverdueBootFactor float64 `yaml:"overdue_boot"`
	MaxConnections    int     `yaml:"max_connections"` // lowers the platform's quota; 0: as the platform says

	// Drains turns on stepwise drains within disruption budgets; nil: off.
	Drains *DrainSettings `yaml:"drains"`
}

// Defaults are the starting values of the design.
func Defaults() Settings {
	return Settings{
		AutoscalingInterval:  Duration(2 * monotime.Second),
		OfferQuarantine:      Duration(30 * monotime.Second),
		ReadinessTimeout:     Duration(90 * monotime.Second),
		ScaleDownDelay:       Duration(5 * monotime.Minute),
		BackoffFirst:         Duration(4 * monotime.Second),
		BackoffMax:           Duration(60 * monotime.Second),
		BackoffPasses:        3,
		ScaleInAttempts:      4,
		ScaleInRetryInterval: Duration(60 * monotime.Second),
	}
}

// LoadSettings reads the operators' YAML files; what a later one sets replaces what earlier
// ones set. Unlike in the platform's file, an unknown key is an error: it is a typing mistake.
func LoadSettings(paths ...string) (Settings, error) {
	settings := Defaults()
	for _, path := range paths {
		if err := settings.merge(path); err != nil {
			return settings, fmt.Errorf("operator settings %s: %w", path, err)
		}
	}
	return settings, nil
}

// merge reads one file over what is set already.
func (s *Settings) merge(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if empty, err := validateSchema(text); err != nil || empty {
		return err
	}
	if err := yaml.Unmarshal(text, s); err != nil {
		return err
	}
	if s.Drains != nil {
		s.Drains.setDefaults()
	}
	return s.check()
}

// Bounds of a duration in the settings.
const (
	minDuration = Duration(100 * monotime.Millisecond)
	maxDuration = Duration(24 * 60 * monotime.Minute)
)

// check looks for what the schema can't express: durations out of range, and settings that
// contradict each other.
func (s *Settings) check() error {
	durations := []struct {
		field string
		value Duration
	}{
		{"pass_interval", s.AutoscalingInterval},
		{"unmet_ttl", s.OfferQuarantine},
		{"readiness_wait", s.ReadinessTimeout},
		{"scale_down_delay", s.ScaleDownDelay},
		{"backoff_first", s.BackoffFirst},
		{"backoff_most", s.BackoffMax},
		{"removal_pause", s.ScaleInRetryInterval},
	}
	for _, duration := range durations {
		if duration.value < minDuration || duration.value > maxDuration {
			return fmt.Errorf("%s: must lie between 100ms and 24h", duration.field)
		}
	}
	if s.Drains != nil {
		return s.Drains.check()
	}
	return nil
}

// CheckTeams looks for teams that the settings name and the platform doesn't know, and for such
// as can't have a record of their own.
func (s *Settings) CheckTeams(teams []Team) error {
	if s.Drains == nil {
		return nil
	}
	known := map[string]bool{}
	for _, team := range teams {
		known[team.Name] = true
		if strings.ContainsFunc(team.Name, unicode.IsSpace) || len(team.Name) > maxTeamNameLength {
			return fmt.Errorf("facts.teams: drains need names without spaces, of %d characters at most: %q",
				maxTeamNameLength, team.Name)
		}
	}
	for i, budget := range s.Drains.Budgets {
		if !known[budget.Team] {
			return fmt.Errorf("operator settings: drains.budgets[%d].team: %w: %q",
				i, ErrUnknownTeam, budget.Team)
		}
	}
	return nil
}

// maxTeamNameLength keeps the key of a team's record within what the state service takes.
const maxTeamNameLength = 100

// ErrUnknownTeam says that a budget names a team that the platform doesn't have.
var ErrUnknownTeam = errors.New("no such team")
