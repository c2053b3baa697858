package protocol

import (
	"fmt"
	"math"
)

// Upper bounds of the text and number fields of a submission.
const (
	maxTextBytes = 200
	maxAmount    = 1e12
)

// fieldReader reads and validates the fields of a decoded map. It keeps the first error.
type fieldReader struct {
	values map[string]any
	err    error
}

// fail records an error about a field, unless an earlier one is recorded.
func (f *fieldReader) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, reason)
	}
}

// text reads a nonempty string. An optional field may be nil or absent, which returns "".
func (f *fieldReader) text(name string, optional bool) string {
	v := f.values[name]
	if v == nil && optional {
		return ""
	}
	s, ok := v.(string)
	if !ok || s == "" || len(s) > maxTextBytes {
		f.fail(name, "must be a text of 1 to 200 bytes")
		return ""
	}
	return s
}

// nonNegative reads a number of 0 or more. An optional field may be nil or absent, which returns 0.
func (f *fieldReader) nonNegative(name string, optional bool) float64 {
	v := f.values[name]
	if v == nil && optional {
		return 0
	}
	x, ok := toFloat64(v)
	if !ok || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || x > maxAmount {
		f.fail(name, "must be a finite amount of 0 or more")
		return 0
	}
	return x
}

// integer reads an integer within the inclusive bounds.
func (f *fieldReader) integer(name string, lowest, highest int64) int {
	n, ok := toInt64(f.values[name])
	if !ok {
		f.fail(name, "must be an integer")
		return 0
	}
	if n < lowest || n > highest {
		f.fail(name, fmt.Sprintf("must lie between %d and %d", lowest, highest))
	}
	return int(n)
}

// boolean reads a required boolean.
func (f *fieldReader) boolean(name string) bool {
	v, ok := f.values[name].(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return v
}

// toFloat64 converts any numeric type that the MessagePack decoder returns.
func toFloat64(v any) (float64, bool) {
	switch x := v.(type) {
	case float64:
		return x, true
	case float32:
		return float64(x), true
	}
	n, ok := toInt64(v)
	return float64(n), ok
}

// toInt64 converts any integer type that the MessagePack decoder returns. A value above the int64 range
// becomes the largest int64, which exceeds the bounds of every field.
func toInt64(v any) (int64, bool) {
	switch x := v.(type) {
	case int8:
		return int64(x), true
	case int16:
		return int64(x), true
	case int32:
		return int64(x), true
	case int64:
		return x, true
	case uint8:
		return int64(x), true
	case uint16:
		return int64(x), true
	case uint32:
		return int64(x), true
	case uint64:
		return int64(min(x, math.MaxInt64)), true
	}
	return 0, false
}
