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

// Exit statuses of the operators' commands.
const (
	exitFailed      = 1 // the settings are wrong, or something unforeseen
	exitBadRequest  = 2 // the request makes no sense
	exitNotFound    = 3 // the drain, zone, type or machine isn't known, or nothing is selected
	exitRefused     = 4 // the name is in use, drains overlap, the drain has ended, others interfere
	exitUnreachable = 5 // the state service gives no answer
)

// exitStatus returns the status that tells scripts what kind of error it was.
func exitStatus(err error) int {
	kinds := []struct {
		status int
		of     []error
	}{
		{exitBadRequest, []error{operator.ErrBadRequest}},
		{exitNotFound, []error{operator.ErrNotFound, operator.ErrNothingSelected}},
		{exitRefused, []error{
			operator.ErrNameInUse, operator.ErrDrainsOverlap, operator.ErrDrainEnded, operator.ErrContention,
		}},
		{exitUnreachable, []error{mirror.ErrStoreUnavailable}},
	}
	for _, kind := range kinds {
		for _, of := range kind.of {
			if errors.Is(err, of) {
				return kind.status
			}
		}
	}
	return exitFailed
}

// drainCmd has the commands about drains.
type drainCmd struct {
	Start   drainStartCmd   `cmd:"" help:"Start a drain: take machines out of service step by step."`
	Status  drainStatusCmd  `cmd:"" help:"Show where a drain stands and what it waits for."`
	List    drainListCmd    `cmd:"" help:"List the drains, also those that ended within the last day."`
	Budgets drainBudgetsCmd `cmd:"" help:"Show how the teams stand against their disruption budgets."`
	Pause   drainPauseCmd   `cmd:"" help:"Have a drain begin no further step."`
	Resume  drainResumeCmd  `cmd:"" help:"Have a paused drain go on."`
	Abort   drainAbortCmd   `cmd:"" help:"End a drain: machines that aren't deleted yet are opened."`
}

// operatorFlags are common to all commands.
type operatorFlags struct {
	settingsFiles `embed:""`
	JSON          bool `help:"Print JSON." name:"json"`
}

// errDrainsOff says that the settings have no section for drains.
var errDrainsOff = errors.New(
	"drains are off: none of the --settings files has a section drains, see deploy/drains.yaml")

// Sizes of the command's connection to the state service.
const (
	operatorConnections = 2
	operatorBody        = 8 << 20
)

// drainOperator opens the commands about drains.
func (f *operatorFlags) drainOperator() (*operator.DrainOperator, *drainDefaults, error) {
	cfg, settings, err := f.load()
	if err != nil {
		return nil, nil, err
	}
	if settings.Drains == nil {
		return nil, nil, errDrainsOff
	}
	store := transport.NewClient(cfg.External.State, operatorConnections, operatorBody)
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

// drainDefaults is what the settings say where a command doesn't.
type drainDefaults struct{ maxParallel int }

// drainStartCmd starts a drain, or with DryRun shows its steps.
type drainStartCmd struct {
	operatorFlags `embed:""`
	Name          string        `arg:"" help:"The drain's name."`
	Machine       []string      `help:"A machine; may be given several times."`
	Zone          string        `help:"All machines of a zone."`
	Type          string        `help:"All machines of a type."`
	Kind          string        `help:"All spot or all ordinary machines." enum:"spot,ordinary," default:""`
	Replace       bool          `help:"Request machines before their capacity is needed."`
	AllowSame     bool          `help:"Machines like the selected ones may be requested meanwhile; only present ones are drained."`
	AtOnce        bool          `help:"Delete empty machines at once, not after the usual delay."`
	MaxParallel   int           `help:"Machines that are emptied at a time (default: the setting max_parallel)."`
	Deadline      time.Duration `help:"Begin no step so long after the start."`
	DryRun        bool          `help:"Show the steps and their order, and change nothing."`
}

// Run carries the command out.
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
		Replace: c.Replace, AllowSimilar: c.AllowSame, RemoveAtOnce: c.AtOnce, MaxParallel: c.MaxParallel,
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

// drainStatusCmd shows where a drain stands.
type drainStatusCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"The drain's name."`
}

// Run carries the command out.
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

// drainBudgetsCmd shows how the teams stand against their budgets.
type drainBudgetsCmd struct {
	operatorFlags `embed:""`
}

// Run carries the command out.
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

// drainListCmd lists the drains.
type drainListCmd struct {
	operatorFlags `embed:""`
}

// Run carries the command out.
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

// changeState has a drain enter a state, and says whether it was in another one before.
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

// drainPauseCmd has a drain begin no further step.
type drainPauseCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"The drain's name."`
}

// Run carries the command out.
func (c *drainPauseCmd) Run() error {
	return c.changeState(c.Name, "paused", func(drains *operator.DrainOperator) (changed bool, err error) {
		return drains.Pause(c.Name)
	})
}

// drainResumeCmd has a paused drain go on.
type drainResumeCmd struct {
	operatorFlags `embed:""`
	Name          string        `arg:"" help:"The drain's name."`
	Deadline      time.Duration `help:"Begin no step so long after now."`
}

// Run carries the command out.
func (c *drainResumeCmd) Run() error {
	return c.changeState(c.Name, "active", func(drains *operator.DrainOperator) (changed bool, err error) {
		return drains.Resume(c.Name, monotime.FromDuration(c.Deadline))
	})
}

// drainAbortCmd ends a drain.
type drainAbortCmd struct {
	operatorFlags `embed:""`
	Name          string `arg:"" help:"The drain's name."`
}

// Run carries the command out.
func (c *drainAbortCmd) Run() error {
	return c.changeState(c.Name, "ended", func(drains *operator.DrainOperator) (changed bool, err error) {
		return drains.Abort(c.Name)
	})
}
