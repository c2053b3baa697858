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

// Settings are the operators' settings. Defaults returns their default values.
type Settings struct {
	AutoscalingInterval Duration `yaml:"pass_interval"`  // interval between the leader's autoscaler passes
	OfferQuarantine     Duration `yaml:"unmet_ttl"`      // how long an offer without capacity is quarantined
	ReadinessTimeout    Duration `yaml:"readiness_wait"` // a machine not up within this time is terminated
	// ScaleDownDelay is the time between closing an empty machine to new tasks and removing it.
	ScaleDownDelay Duration `yaml:"scale_down_delay"`
	BackoffFirst   Duration `yaml:"backoff_first"`  // first backoff delay of a job whose demand no offer can meet
	BackoffMax     Duration `yaml:"backoff_most"`   // ceiling of the backoff delay
	BackoffPasses  int      `yaml:"backoff_passes"` // unsuccessful passes before the first delay
	// ScaleInAttempts is the number of attempts at short intervals before a scale-in request is marked as
	// failed.
	ScaleInAttempts      int      `yaml:"removal_tries"`
	ScaleInRetryInterval Duration `yaml:"removal_pause"` // delay between attempts of a failed request
	// ExpectedCapacity is a fraction of a machine type's boot time. Resources that running tasks are expected
	// to release within it count as supply. The default 0 counts none of them.
	ExpectedCapacity float64 `yaml:"expected_room"`
	// ExpectedOnDemandCapacity is used like ExpectedCapacity before on-demand machines are requested for
	// tasks that may use spot machines. It should be at least ExpectedCapacity.
	ExpectedOnDemandCapacity float64 `yaml:"expected_room_ordinary"`
	// ServiceHeadroom is the headroom for future services, as a fraction of what each class of services uses.
	// The headroom is kept free or in use by tasks that a service may preempt.
	ServiceHeadroom float64 `yaml:"service_headroom"`
	// OverdueBootFactor is a multiple of a machine type's boot time. A requested machine that isn't up after
	// it no longer counts as supply for services. After 1.5 times as long it no longer counts as supply at
	// all. With 0 it counts until ReadinessTimeout.
	OverdueBootFactor float64 `yaml:"overdue_boot"`
	MaxConnections    int     `yaml:"max_connections"` // lowers the platform's quota; 0: doesn't lower it

	// Drains enables drains, which respect disruption budgets. With nil, drains are disabled.
	Drains *DrainSettings `yaml:"drains"`
}

// Defaults returns the default settings.
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

// LoadSettings reads the operators' YAML files. A later file overrides the keys that it sets. Unlike in the
// platform's configuration, an unknown key is an error, since it is a typing mistake.
func LoadSettings(paths ...string) (Settings, error) {
	settings := Defaults()
	for _, path := range paths {
		if err := settings.merge(path); err != nil {
			return settings, fmt.Errorf("operator settings %s: %w", path, err)
		}
	}
	return settings, nil
}

// merge reads one file and overrides the settings that it contains.
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

// Minimum and maximum of a duration in the settings.
const (
	minDuration = Duration(100 * monotime.Millisecond)
	maxDuration = Duration(24 * 60 * monotime.Minute)
)

// check returns an error for invalid settings that the schema can't describe: durations out of range and
// contradictory settings.
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

// CheckTeams validates the teams if drains are enabled. It returns an error if a budget is for a team that
// the platform doesn't have, or if any team's name can't be part of a record key.
func (s *Settings) CheckTeams(teams []Team) error {
	if s.Drains == nil {
		return nil
	}
	known := map[string]bool{}
	for _, team := range teams {
		known[team.Name] = true
		if strings.ContainsFunc(team.Name, unicode.IsSpace) || len(team.Name) > maxTeamNameLength {
			return fmt.Errorf("facts.teams: drains need team names without spaces, of at most %d bytes: %q",
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

// maxTeamNameLength is the maximum length of a team's name in bytes. It keeps the key of the team's record
// within the limits of the state service.
const maxTeamNameLength = 100

// ErrUnknownTeam means that a budget is for a team that the platform doesn't have.
var ErrUnknownTeam = errors.New("no such team")
