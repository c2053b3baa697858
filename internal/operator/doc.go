// Package operator implements the operators' commands for a running fleet. A command reads the records of the
// state service at one revision and changes them by compare-and-swap. It contacts no controller, so it works
// no matter which controllers are running. Its output never mixes two revisions.
package operator
