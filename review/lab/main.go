//go:build review

// Command lab runs the cases of the review. It starts the controllers as processes with the command of
// deploy/service.toml, and plays users, workers, the cloud and the state service with the project's own
// stand-ins (internal/fake). It judges only what these see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 117 * time.Second

var cases = map[string]func(*lab){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "--config" {
		startController(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}
