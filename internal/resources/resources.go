// Package resources does arithmetic on amounts of CPUs, accelerators and memory: those that tasks require and
// those that machines provide.
package resources

import (
	"math"

	"pipitgap/internal/protocol"
)

// Vector is an amount of each resource: CPUs, accelerators and gigabytes of memory.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// roundingUnit is the granularity of rounded amounts. Sums of multiples of roundingUnit are exact in any
// order of addition, so decisions do not depend on map iteration order.
const roundingUnit = 1.0 / (1 << 30)

// Tolerance is the excess that FitsIn and CountIn allow. Without it, rounding errors of decimal amounts could
// prevent an exact fit.
const Tolerance = 1e-6

// Round rounds an amount to the nearest multiple of 2^-30, so that sums of rounded amounts are exact.
func Round(amount float64) float64 { return math.Round(amount/roundingUnit) * roundingUnit }

// New returns a vector of the given amounts, each rounded by Round.
func New(cpus, gpus, memoryGB float64) Vector {
	return Vector{Round(cpus), Round(gpus), Round(memoryGB)}
}

// Plus returns the sum v + other.
func (v Vector) Plus(other Vector) Vector { return v.AddScaled(other, 1) }

// Minus returns the difference v - other.
func (v Vector) Minus(other Vector) Vector { return v.AddScaled(other, -1) }

// AddScaled returns v + n*other. n may be negative.
func (v Vector) AddScaled(other Vector, n float64) Vector {
	return Vector{v.CPUs + n*other.CPUs, v.GPUs + n*other.GPUs, v.MemoryGB + n*other.MemoryGB}
}

// FitsIn reports whether every amount of v is at most the available amount, within Tolerance.
func (v Vector) FitsIn(available Vector) bool {
	return v.CPUs <= available.CPUs+Tolerance &&
		v.GPUs <= available.GPUs+Tolerance &&
		v.MemoryGB <= available.MemoryGB+Tolerance
}

// CountIn returns how many times v fits into available, at most protocol.MaxTasks.
func (v Vector) CountIn(available Vector) int {
	count := math.Inf(1)
	limit := func(needed, available float64) {
		if needed > 0 {
			count = min(count, math.Floor((available+Tolerance)/needed))
		}
	}
	limit(v.CPUs, available.CPUs)
	limit(v.GPUs, available.GPUs)
	limit(v.MemoryGB, available.MemoryGB)
	return max(0, int(min(count, protocol.MaxTasks)))
}
