package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"pipitgap/internal/monotime"
)

// DrainSettings are the settings of stepwise drains.
type DrainSettings struct {
	// DefaultMaxUnavailable is how many replicas of a team without a budget may be
	// unavailable at a time before a drain stops another.
	DefaultMaxUnavailable int `yaml:"default_max_unavailable"`
	// DefaultReserveMachines is the reserve of budgets that state none. A pointer, since 0 is
	// a choice.
	DefaultReserveMachines *int `yaml:"default_reserve_machines"`
	// MaxParallel is how many machines of a drain are emptied at a time if the drain doesn't say.
	MaxParallel int `yaml:"max_parallel"`
	// ArrayWait is how long an array task that is expected to end by then is waited for.
	ArrayWait Duration `yaml:"array_wait"`
	// MinReady is how long a replica must have been running to count as available.
	MinReady Duration `yaml:"min_ready"`
	// Budgets say how much of a team's services must stay available.
	Budgets []DisruptionBudget `yaml:"budgets"`
}

// Starting values of the settings of drains.
const (
	defaultMaxUnavailable  = 1
	defaultReserveMachines = 1
	defaultMaxParallel     = 10
	defaultArrayWait       = Duration(30 * monotime.Second)
	defaultMinReady        = Duration(5 * monotime.Second)
)

// setDefaults fills in what the operators left out.
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

// check looks for budgets that contradict each other or can never be kept.
func (d *DrainSettings) check() error {
	if d.ArrayWait > maxDuration || d.MinReady > maxDuration {
		return fmt.Errorf("drains.array_wait, drains.min_ready: at most 24h")
	}
	type scope struct{ team, class string }
	seen := map[scope]int{}
	for i := range d.Budgets {
		budget := &d.Budgets[i]
		of := scope{budget.Team, budget.Class}
		if first, ok := seen[of]; ok {
			return fmt.Errorf("drains.budgets[%d]: the same team and class as budgets[%d]", i, first)
		}
		seen[of] = i
		if reason := budget.unsatisfiable(); reason != "" {
			return fmt.Errorf("drains.budgets[%d].%s", i, reason)
		}
	}
	return nil
}

// DisruptionBudget is a team's disruption budget, or that of one of its job classes. Either
// MinAvailable or MaxUnavailable is set.
type DisruptionBudget struct {
	Team            string          `yaml:"team"`
	Class           string          `yaml:"class"` // "": all of the team's services
	MinAvailable    *CountOrPercent `yaml:"min_available"`
	MaxUnavailable  *CountOrPercent `yaml:"max_unavailable"`
	ReserveMachines *int            `yaml:"reserve_machines"`
}

// unsatisfiable returns why a budget can never permit anything, whatever runs; "" if it can.
func (b *DisruptionBudget) unsatisfiable() string {
	switch {
	case b.MinAvailable != nil && *b.MinAvailable == CountOrPercent{Value: 100, Percent: true}:
		return "min_available: 100% leaves no replica that could ever be moved"
	case b.MaxUnavailable != nil && b.MaxUnavailable.Value == 0:
		return "max_unavailable: 0 leaves no replica that could ever be moved"
	}
	return ""
}

// MinAvailableOf is how many of so many replicas must stay available. Percentages are rounded so
// that more stay: what must be available is rounded up, what may be unavailable down.
func (b *DisruptionBudget) MinAvailableOf(replicas int) int {
	if b.MinAvailable != nil {
		return b.MinAvailable.roundedUp(replicas)
	}
	return replicas - b.MaxUnavailable.roundedDown(replicas)
}

// CountOrPercent is a number of replicas, or a percentage of them.
type CountOrPercent struct {
	Value   int // replicas, or percent of them
	Percent bool
}

// wholePercent is all replicas, in percent.
const wholePercent = 100

// roundedUp returns the amount of a number of replicas, a part of one counted as one.
func (c CountOrPercent) roundedUp(replicas int) int {
	if !c.Percent {
		return c.Value
	}
	return int(math.Ceil(float64(c.Value*replicas) / wholePercent))
}

// roundedDown returns the amount of a number of replicas, a part of one left out.
func (c CountOrPercent) roundedDown(replicas int) int {
	if !c.Percent {
		return c.Value
	}
	return c.Value * replicas / wholePercent
}

// String returns the form of the settings.
func (c CountOrPercent) String() string {
	if c.Percent {
		return strconv.Itoa(c.Value) + "%"
	}
	return strconv.Itoa(c.Value)
}

// UnmarshalYAML reads a number or a percentage.
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
