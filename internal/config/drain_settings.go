package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"pipitgap/internal/monotime"
)

// DrainSettings are the settings for drains.
type DrainSettings struct {
	// DefaultMaxUnavailable is how many replicas of a team and class without a budget may be unavailable at a
	// time. At this number a drain stops no further replica.
	DefaultMaxUnavailable int `yaml:"default_max_unavailable"`
	// DefaultReserveMachines is the number of reserve machines of a budget that doesn't set one. It is a
	// pointer to tell an explicit 0 from an unset value.
	DefaultReserveMachines *int `yaml:"default_reserve_machines"`
	// MaxParallel is how many machines are emptied at a time by a drain that doesn't set its own limit.
	MaxParallel int `yaml:"max_parallel"`
	// ArrayWait is how long a drain waits for an array task that is expected to end within this time.
	ArrayWait Duration `yaml:"array_wait"`
	// MinReady is how long a replica must run before it counts as available.
	MinReady Duration `yaml:"min_ready"`
	// Budgets are the disruption budgets of teams' services.
	Budgets []DisruptionBudget `yaml:"budgets"`
}

// Default values of the drain settings.
const (
	defaultMaxUnavailable  = 1
	defaultReserveMachines = 1
	defaultMaxParallel     = 10
	defaultArrayWait       = Duration(30 * monotime.Second)
	defaultMinReady        = Duration(5 * monotime.Second)
)

// setDefaults sets the default values of all unset settings.
func (d *DrainSettings) setDefaults() {
	if d.DefaultMaxUnavailable == 0 {
		d.DefaultMaxUnavailable = defaultMaxUnavailable
	}
	if d.DefaultReserveMachines == nil {
		reserve := defaultReserveMachines
		d.DefaultReserveMachines = &reserve
	}
	if d.MaxParallel == 0 {
		d.MaxParallel = defaultMaxParallel
	}
	if d.ArrayWait == 0 {
		d.ArrayWait = defaultArrayWait
	}
	if d.MinReady == 0 {
		d.MinReady = defaultMinReady
	}
}

// check returns an error if a duration is too long, if two budgets have the same scope, or if a budget would
// never permit a drain to move a replica.
func (d *DrainSettings) check() error {
	if d.ArrayWait > maxDuration || d.MinReady > maxDuration {
		return fmt.Errorf("drains.array_wait, drains.min_ready: must be at most 24h")
	}
	type scope struct{ team, class string }
	seen := map[scope]int{}
	for i := range d.Budgets {
		budget := &d.Budgets[i]
		budgetScope := scope{budget.Team, budget.Class}
		if first, ok := seen[budgetScope]; ok {
			return fmt.Errorf("drains.budgets[%d]: has the same team and class as budgets[%d]", i, first)
		}
		seen[budgetScope] = i
		if reason := budget.unsatisfiable(); reason != "" {
			return fmt.Errorf("drains.budgets[%d].%s", i, reason)
		}
	}
	return nil
}

// DisruptionBudget is the disruption budget of a team's services, or of a team's services of one job class.
// Either MinAvailable or MaxUnavailable is set.
type DisruptionBudget struct {
	Team            string          `yaml:"team"`
	Class           string          `yaml:"class"` // "": all of the team's services
	MinAvailable    *CountOrPercent `yaml:"min_available"`
	MaxUnavailable  *CountOrPercent `yaml:"max_unavailable"`
	ReserveMachines *int            `yaml:"reserve_machines"`
}

// unsatisfiable returns the reason why a budget can never permit a drain to move a replica, or "" if it can.
func (b *DisruptionBudget) unsatisfiable() string {
	switch {
	case b.MinAvailable != nil && *b.MinAvailable == CountOrPercent{Value: 100, Percent: true}:
		return "min_available: with 100% no replica can ever be moved"
	case b.MaxUnavailable != nil && b.MaxUnavailable.Value == 0:
		return "max_unavailable: with 0 no replica can ever be moved"
	}
	return ""
}

// MinAvailableOf returns how many of the given number of replicas must stay available. Percentages are
// rounded in favor of availability: MinAvailable is rounded up, MaxUnavailable down.
func (b *DisruptionBudget) MinAvailableOf(replicas int) int {
	if b.MinAvailable != nil {
		return b.MinAvailable.roundedUp(replicas)
	}
	return replicas - b.MaxUnavailable.roundedDown(replicas)
}

// CountOrPercent is a number of replicas or a percentage of all replicas.
type CountOrPercent struct {
	Value   int // number of replicas, or percentage
	Percent bool
}

// hundredPercent is the percentage that means all replicas.
const hundredPercent = 100

// roundedUp returns the count, or the percentage of the given number of replicas rounded up.
func (c CountOrPercent) roundedUp(replicas int) int {
	if !c.Percent {
		return c.Value
	}
	return int(math.Ceil(float64(c.Value*replicas) / hundredPercent))
}

// roundedDown returns the count, or the percentage of the given number of replicas rounded down.
func (c CountOrPercent) roundedDown(replicas int) int {
	if !c.Percent {
		return c.Value
	}
	return c.Value * replicas / hundredPercent
}

// String returns the value as it is written in the settings.
func (c CountOrPercent) String() string {
	if c.Percent {
		return strconv.Itoa(c.Value) + "%"
	}
	return strconv.Itoa(c.Value)
}

// UnmarshalYAML decodes a number or a percentage.
func (c *CountOrPercent) UnmarshalYAML(text []byte) error {
	var value any
	if err := yaml.Unmarshal(text, &value); err != nil {
		return err
	}
	digits, percent := strings.CutSuffix(fmt.Sprint(value), "%")
	number, err := strconv.Atoi(digits)
	if err != nil || number < 0 {
		return fmt.Errorf("%q is neither a number nor a percentage", value)
	}
	*c = CountOrPercent{Value: number, Percent: percent}
	return nil
}
