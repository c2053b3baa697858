package coordination

// Values of the log key "state". A condition is logged twice under one message: when it
// begins and when it ends.
const (
	conditionBegin = "begin"
	conditionEnd   = "end"
)

// conditionState returns the value of the log key "state" for a condition that holds now or
// has just ended.
func conditionState(holds bool) string {
	if holds {
		return conditionBegin
	}
	return conditionEnd
}
