// Package logging holds the values of log keys that several packages write in the same way.
package logging

// Values of the log key "state". A condition is logged twice under one message: when it begins and when it
// ends.
const (
	ConditionBegin = "begin"
	ConditionEnd   = "end"
)

// ConditionState returns the value of the log key "state" for a condition that holds now or has just ended.
func ConditionState(holds bool) string {
	if holds {
		return ConditionBegin
	}
	return ConditionEnd
}
