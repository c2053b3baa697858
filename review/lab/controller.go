//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/BurntSushi/toml"
)

// Environment variables that pass the facts of the deployment to startController.
const (
	envValueKB = "LAB_VALUE_KB"
	envTxnOps  = "LAB_TXN_OPS"
	envCores   = "LAB_CORES"
)

// repositoryRoot returns the repository's root: the program is review/bin/lab.
func repositoryRoot() string {
	program, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(filepath.Dir(filepath.Dir(program)))
}

// startController replaces this process by a controller: the run command of the deploy file, from the
// repository's root, with the path of the settings file as its last argument. It first sets the facts of the
// deployment that the project's stand-ins leave at other values.
func startController(path string) {
	if err := execController(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
}

func execController(path string) error {
	settings, err := writeSettings(path)
	if err != nil {
		return err
	}
	root := repositoryRoot()
	if err := os.Chdir(root); err != nil {
		return err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile("deploy/service.toml", &deploy); err != nil {
		return err
	}
	args := append(strings.Fields(deploy.Run), settings)
	return syscall.Exec(filepath.Join(root, args[0]), args, os.Environ())
}

// writeSettings writes the settings file of a controller beside the given one, and returns its path.
func writeSettings(path string) (string, error) {
	var settings map[string]any
	if _, err := toml.DecodeFile(path, &settings); err != nil {
		return "", err
	}
	facts, _ := settings["facts"].(map[string]any)
	set := func(table, key, variable string, integer bool) {
		value, ok := os.LookupEnv(variable)
		inner, isTable := facts[table].(map[string]any)
		if !ok || !isTable {
			return
		}
		number, _ := strconv.ParseFloat(value, 64)
		inner[key] = number
		if integer {
			inner[key] = int64(number)
		}
	}
	set("state", "value_kb", envValueKB, false)
	set("state", "txn_ops", envTxnOps, true)
	set("quota", "cores", envCores, false)
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(settings); err != nil {
		return "", err
	}
	settingsPath := strings.TrimSuffix(path, ".toml") + ".case.toml"
	return settingsPath, os.WriteFile(settingsPath, text.Bytes(), 0o600)
}
