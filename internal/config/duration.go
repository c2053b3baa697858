package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"pipitgap/internal/monotime"
)

// Duration is a duration in a YAML file, written in Go's format, such as 30s or 5m.
type Duration monotime.Micros

// UnmarshalYAML decodes a duration in Go's format.
func (d *Duration) UnmarshalYAML(text []byte) error {
	var value string
	if err := yaml.Unmarshal(text, &value); err != nil {
		return err
	}
	duration, err := time.ParseDuration(value)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 30s", value)
	}
	*d = Duration(monotime.FromDuration(duration))
	return nil
}

// Micros returns the duration in microseconds.
func (d Duration) Micros() monotime.Micros { return monotime.Micros(d) }
