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

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve as a controller (the default command)."`
	Check   checkCmd   `cmd:"" help:"Check the settings and say what is wrong, without serving."`
	Drain   drainCmd   `cmd:"" help:"Take machines out of service step by step."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type files struct {
	Config   string   `help:"The platform's settings (TOML)." type:"path" required:""`
	Settings []string `help:"The operators' own settings (YAML); may be given several times, later files over earlier ones." type:"path" optional:"" sep:"none"`
}

func (f *files) load() (*config.Config, config.Settings, error) {
	cfg, err := config.Load(f.Config)
	if err != nil {
		return nil, config.Settings{}, err
	}
	set, err := config.LoadSettings(f.Settings...)
	if err != nil {
		return nil, set, err
	}
	return cfg, set, set.CheckTeams(cfg.Facts.Teams)
}

type serveCmd struct {
	files `embed:""`
}

func (s *serveCmd) Run(log *slog.Logger) error {
	cfg, set, err := s.load()
	if err != nil {
		return err
	}
	return daemon.Run(cfg, set, log)
}

type checkCmd struct {
	files `embed:""`
}

func (s *checkCmd) Run() error {
	if _, _, err := s.load(); err != nil {
		return err
	}
	fmt.Println("settings are good")
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("pipitgap", version)
	return nil
}

// level reads LOG_LEVEL; anything unknown is info.
func level(name string) slog.Level {
	switch name {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// kongUsageStatus is the status by which the command line parser says that the words are wrong.
const kongUsageStatus = 80

// serveCommand is the command whose errors go to the log.
const serveCommand = "serve"

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("pipitgap"),
		kong.Description("A controller of the pipitgap cluster scheduler."),
		kong.UsageOnError(),
		kong.Exit(func(status int) {
			if status == kongUsageStatus {
				status = exitBadRequest
			}
			os.Exit(status)
		}))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level(os.Getenv("LOG_LEVEL"))}))
	slog.SetDefault(log)
	if err := k.Run(log); err != nil {
		if k.Selected().Name == serveCommand {
			log.Error("controller exited", "error", err.Error())
		} else {
			fmt.Fprintln(os.Stderr, "pipitgap:", err)
		}
		os.Exit(exitStatus(err))
	}
}
