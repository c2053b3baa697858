// Command knownred runs the tests of the module for continuous integration. It passes over the tests that
// KNOWN-RED.txt lists, then runs each of them and prints its result. Arguments are passed to go test.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
)

// listPath is the path of the list, relative to the module root.
const listPath = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs all tests that args select except the listed ones, and then each listed test.
func run(args []string) error {
	entries, err := readEntries(listPath)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := entry.requireExists(); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		args = slices.Insert(args, 0, "-skip="+skipPattern(entries))
	}
	if err := goTest(args...); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := entry.runAndReport(); err != nil {
			return err
		}
	}
	return nil
}

// readEntries reads the list. A missing list has no entries.
func readEntries(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseEntries(string(text))
}

// goTest runs go test and passes on its output.
func goTest(args ...string) error {
	command := exec.Command("go", slices.Insert(args, 0, "test")...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command.Run()
}
