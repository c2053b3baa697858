// Package operator has the operators' commands on a running fleet. A command reads the state service at one
// revision and acts by conditional commits. No controller takes part, so that commands work whichever
// controllers are up, and what they print is never a mixture of two revisions.
package operator
