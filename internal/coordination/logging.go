package coordination

import "pipitgap/internal/logging"

// Values of the log key "state", see package logging.
const (
	conditionBegin = logging.ConditionBegin
	conditionEnd   = logging.ConditionEnd
)

// conditionState returns the value of the log key "state" for a condition that holds now or
// has just ended.
func conditionState(holds bool) string { return logging.ConditionState(holds) }
