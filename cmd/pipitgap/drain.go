package main

import (
	"errors"
	"io"
	"time"

	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/operator"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Exit statuses of the operator commands.
const (
	exitFailed      = 1 // the settings are invalid, or any other error
	exitBadRequest  = 2 // the request is invalid
	exitNotFound    = 3 // the drain, zone, type or machine is unknown, or nothing is selected
	exitRefused     = 4 // the name is in use, drains overlap, the drain has ended, or other writers interfere
	exitUnreachable = 5 // the state service doesn't answer
)

// exitStatus returns the exit status for an error. It tells scripts the kind of the error.
func exitStatus(err error) int {
	kinds := []struct {
		status int
		errs   []error
	}{
		{exitBadRequest, []error{operator.ErrBadRequest}},
		{exitNotFound, []error{operator.ErrNotFound, operator.ErrNothingSelected}},
		{exitRefused, []error{
			operator.ErrNameInUse, operator.ErrDrainsOverlap, operator.ErrDrainEnded, operator.ErrContention,
		}},
		{exitUnreachable, []error{mirror.ErrStoreUnavailable}},
	}
	for _, kind := range kinds {
		for _, target := range kind.errs {
			if errors.Is(err, target) {
				return kind.status
			}
		}
	}
	return exitFailed
}

// drainCmd groups the drain commands.
type drainCmd struct {
	Start   drainStartCmd   `cmd:"" help:"Start a drain: take machines out of service step by step."`
	Status  drainStatusCmd  `cmd:"" help:"Show the progress of a drain and what it waits for."`
	List    drainListCmd    `cmd:"" help:"List all drains, including those that ended within the last day."`
	Budgets drainBudgetsCmd `cmd:"" help:"Show the availability of the teams' services and their disruption budgets."`
	Pause   drainPauseCmd   `cmd:"" help:"Pause a drain: it begins no further step."`
	Resume  drainResumeCmd  `cmd:"" help:"Resume a paused drain."`
	Abort   drainAbortCmd   `cmd:"" help:"End a drain: its remaining machines accept tasks again."`
}

// operatorFlags are the flags of all operator commands.
type operatorFlags struct {
	settingsFiles `embed:""`
	JSON          bool `help:"Print JSON." name:"json"`
}

// errDrainsOff means that the settings have no drains section, which disables drains.
var errDrainsOff = errors.New(
	"drains are disabled: no --settings file has a drains section, see deploy/drains.yaml")

// Limits of a command's connections to the state service.
const (
	operatorConnections = 2       // idle connections kept open
	operatorMaxBody     = 8 << 20 // bytes per response body
)

// drainOperator loads the settings and returns the drain operator with its client of the state service. It
// also returns the defaults of flags that come from the settings.
func (f *operatorFlags) drainOperator() (*operator.DrainOperator, *drainDefaults, error) {
	cfg, settings, err := f.load()
	if err != nil {
		return nil, nil, err
	}
	if settings.Drains == nil {
		return nil, nil, errDrainsOff
	}
	store := transport.NewClient(cfg.External.State, operatorConnections, operatorMaxBody)
	op := &operator.Operator{
		Call: func(call *protocol.StoreCall) protocol.StoreResult {
			return protocol.CallStore(store, call)
		},
		Sleep:             func(d monotime.Micros) { time.Sleep(d.Duration()) },
		WallClock:         func() int64 { return time.Now().UnixMicro() },
		MaxTransactionOps: cfg.Facts.State.TxnOps,
		MaxValueBytes:     int(cfg.Facts.State.ValueKB * 1024),
		Zones:             cfg.Facts.Zones,
	}
	return &operator.DrainOperator{Operator: op, Policy: drain.NewPolicy(settings.Drains)},
		&drainDefaults{settings.Drains.MaxParallel}, nil
}

// drainDefaults contains the settings that are the defaults of flags.
type drainDefaults struct{ maxParallel int }

// drainStartCmd starts a drain, or prints its plan if DryRun is set.
type drainStartCmd struct {
	operatorFlags `embed:""`
	Name          string        `arg:"" help:"The name of the drain."`
	Machine       []string      `help:"Select this machine; may be repeated."`
	Zone          string        `help:"Select all machines of this zone."`
	Type          string        `help:"Select all machines of this machine type."`
	Kind          string        `help:"Select only spot machines, or only ordinary (on-demand) machines." enum:"spot,ordinary," default:""`
	Replace       bool          `help:"Request machines before their capacity is needed."`
	AllowSame     bool          `help:"Allow requests for machines that match the selection during the drain; only machines that exist now are drained."`
	AtOnce        bool          `help:"Delete empty machines immediately, without the usual delay."`
	MaxParallel   int           `help:"Maximum number of machines emptied at a time (default: the setting max_parallel)."`
	Deadline      time.Duration `help:"Begin no step later than this after the start."`
	DryRun        bool          `help:"Print the steps in order, and change nothing."`
}

// Run executes the command.
func (c *drainStartCmd) Run() error {
	drains, defaults, err := c.drainOperator()
	if err != nil {
		return err
	}
	request := operator.StartRequest{
		Name: c.Name,
		Selector: storage.Selector{
			Machines: c.Machine, Zone: c.Zone, Type: c.Type, CapacityType: storage.CapacityType(c.Kind),
		},
		Replace: c.Replace, AllowSimilar: c.AllowSame, DeleteImmediately: c.AtOnce, MaxParallel: c.MaxParallel,
		Deadline: monotime.FromDuration(c.Deadline), DryRun: c.DryRun,
	}
	if c.MaxParallel == 0 {
		request.MaxParallel = defaults.maxParallel
	}
	started, err := drains.Start(request)
	if err != nil {
		return err
	}
	return c.print(started, func(w io.Writer) { printStarted(w, started) })
}

// drainStatusCmd prints the progress of a drain.
type drainStatusCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"The name of the drain."`
}

// Run executes the command.
func (c *drainStatusCmd) Run() error {
	drains, _, err := c.drainOperator()
	if err != nil {
		return err
	}
	progress, teams, err := drains.Status(c.Name)
	if err != nil {
		return err
	}
	return c.print(statusOutput{progress, teams}, func(w io.Writer) { printStatus(w, progress, teams) })
}

// drainBudgetsCmd prints the availability of the teams' services and their budgets.
type drainBudgetsCmd struct {
	operatorFlags `embed:""`
}

// Run executes the command.
func (c *drainBudgetsCmd) Run() error {
	drains, _, err := c.drainOperator()
	if err != nil {
		return err
	}
	teams, err := drains.Budgets()
	if err != nil {
		return err
	}
	return c.print(teams, func(w io.Writer) { printTeams(w, teams) })
}

// drainListCmd prints the list of drains.
type drainListCmd struct {
	operatorFlags `embed:""`
}

// Run executes the command.
func (c *drainListCmd) Run() error {
	drains, _, err := c.drainOperator()
	if err != nil {
		return err
	}
	list, err := drains.List()
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) { printList(w, list) })
}

// changeState runs a change of a drain's state and prints whether the drain was in another state before.
func (f *operatorFlags) changeState(
	name, state string,
	change func(*operator.DrainOperator) (changed bool, err error),
) error {
	drains, _, err := f.drainOperator()
	if err != nil {
		return err
	}
	changed, err := change(drains)
	if err != nil {
		return err
	}
	return f.printStateChange(stateChange{name, state, changed})
}

// drainPauseCmd pauses a drain.
type drainPauseCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"The name of the drain."`
}

// Run executes the command.
func (c *drainPauseCmd) Run() error {
	return c.changeState(c.Name, "paused", func(drains *operator.DrainOperator) (changed bool, err error) {
		return drains.Pause(c.Name)
	})
}

// drainResumeCmd resumes a paused drain.
type drainResumeCmd struct {
	operatorFlags `embed:""`
	Name          string        `arg:"" help:"The name of the drain."`
	Deadline      time.Duration `help:"Begin no step later than this from now."`
}

// Run executes the command.
func (c *drainResumeCmd) Run() error {
	return c.changeState(c.Name, "active", func(drains *operator.DrainOperator) (changed bool, err error) {
		return drains.Resume(c.Name, monotime.FromDuration(c.Deadline))
	})
}

// drainAbortCmd ends a drain.
type drainAbortCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"The name of the drain."`
}

// Run executes the command.
func (c *drainAbortCmd) Run() error {
	return c.changeState(c.Name, "ended", func(drains *operator.DrainOperator) (changed bool, err error) {
		return drains.Abort(c.Name)
	})
}
