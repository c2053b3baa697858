// Package logging defines values of log keys that several packages share.
package logging

// Values of the log key "state". A condition is logged twice with the same message: when it begins and when it
// ends.
const (
	ConditionBegin = "begin"
	ConditionEnd   = "end"
)

// ConditionState returns ConditionBegin for a condition that holds, ConditionEnd for one that has just ended.
func ConditionState(holds bool) string {
	if holds {
		return ConditionBegin
	}
	return ConditionEnd
}
