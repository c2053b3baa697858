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

// commandLine is the command line, as kong reads it.
type commandLine struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve as a controller (the default command)."`
	Check   checkCmd   `cmd:"" help:"Check the settings and say what is wrong, without serving."`
	Drain   drainCmd   `cmd:"" help:"Take machines out of service step by step."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// settingsFiles are the flags that name the files with the settings.
type settingsFiles struct {
	Config   string   `help:"The platform's settings (TOML)." type:"path" required:""`
	Settings []string `help:"The operators' own settings (YAML); may be given several times, later files over earlier ones." type:"path" optional:"" sep:"none"`
}

// load reads and checks the files.
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

// serveCmd serves as a controller.
type serveCmd struct {
	settingsFiles `embed:""`
}

// Run carries the command out.
func (s *serveCmd) Run(log *slog.Logger) error {
	cfg, settings, err := s.load()
	if err != nil {
		return err
	}
	return daemon.Run(cfg, settings, log)
}

// checkCmd checks the settings without serving.
type checkCmd struct {
	settingsFiles `embed:""`
}

// Run carries the command out.
func (s *checkCmd) Run() error {
	if _, _, err := s.load(); err != nil {
		return err
	}
	fmt.Println("settings are good")
	return nil
}

// versionCmd prints the version.
type versionCmd struct{}

// Run carries the command out.
func (versionCmd) Run() error {
	fmt.Println("pipitgap", version)
	return nil
}

// logLevel reads LOG_LEVEL; anything unknown is info.
func logLevel(name string) slog.Level {
	switch name {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// kongUsageStatus is the status with which the command line parser exits for wrong usage.
const kongUsageStatus = 80

// serveCommand is the command whose errors go to the log.
const serveCommand = "serve"

// main runs the command that the command line names. It exits with 0, or with the status of the error.
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
