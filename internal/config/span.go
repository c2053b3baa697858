package config

import (
	"fmt"
	"time"

	"pipitgap/internal/micros"
)

func parseSpan(text string) (micros.T, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration such as 30s", text)
	}
	return micros.FromDuration(d), nil
}
