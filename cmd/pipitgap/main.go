// Command pipitgap is a controller of the pipitgap cluster scheduler.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"pipitgap/internal/config"
	"pipitgap/internal/daemon"
)

// version is the product's version.
const version = "0.2.0"

// commandLine defines the commands and flags for kong, the command line parser.
type commandLine struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default command)."`
	Check   checkCmd   `cmd:"" help:"Check the settings and print the first error, without running a controller."`
	Drain   drainCmd   `cmd:"" help:"Take machines out of service step by step."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// settingsFiles are the flags that name the settings files.
type settingsFiles struct {
	Config   string   `help:"The platform's configuration file (TOML)." type:"path" required:""`
	Settings []string `help:"An operator settings file (YAML); may be repeated, later files override earlier ones." type:"path" optional:"" sep:"none"`
}

// load reads and validates the files.
func (f *settingsFiles) load() (*config.Config, config.Settings, error) {
	cfg, err := config.Load(f.Config)
	if err != nil {
		return nil, config.Settings{}, err
	}
	settings, err := config.LoadSettings(f.Settings...)
	if err != nil {
		return nil, settings, err
	}
	return cfg, settings, settings.CheckTeams(cfg.Facts.Teams)
}

// serveCmd runs a controller.
type serveCmd struct {
	settingsFiles `embed:""`
}

// Run executes the command.
func (s *serveCmd) Run(log *slog.Logger) error {
	cfg, settings, err := s.load()
	if err != nil {
		return err
	}
	return daemon.Run(cfg, settings, log)
}

// checkCmd checks the settings without running a controller.
type checkCmd struct {
	settingsFiles `embed:""`
}

// Run executes the command.
func (s *checkCmd) Run() error {
	if _, _, err := s.load(); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// versionCmd prints the version.
type versionCmd struct{}

// Run executes the command.
func (versionCmd) Run() error {
	fmt.Println("pipitgap", version)
	return nil
}

// logLevel returns the log level for a value of LOG_LEVEL. An unknown or empty value means info.
func logLevel(name string) slog.Level {
	switch name {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// kongUsageStatus is the exit status of kong, the command line parser, for a usage error.
const kongUsageStatus = 80

// serveCommand is the name of the command whose errors are logged instead of printed.
const serveCommand = "serve"

// main runs the command given on the command line. It exits with 0, or with the exit status of the error.
func main() {
	var c commandLine
	parsed := kong.Parse(&c, kong.Name("pipitgap"),
		kong.Description("A controller of the pipitgap cluster scheduler."),
		kong.UsageOnError(),
		kong.Exit(func(status int) {
			if status == kongUsageStatus {
				status = exitBadRequest
			}
			os.Exit(status)
		}))
	log := slog.New(
		slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}),
	)
	slog.SetDefault(log)
	if err := parsed.Run(log); err != nil {
		if parsed.Selected().Name == serveCommand {
			log.Error("controller exited", "error", err.Error())
		} else {
			fmt.Fprintln(os.Stderr, "pipitgap:", err)
		}
		os.Exit(exitStatus(err))
	}
}
