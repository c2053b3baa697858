// Package resources does arithmetic on the amounts of processors, accelerators and memory that tasks take and
// machines have.
package resources

import (
	"math"

	"pipitgap/internal/protocol"
)

// Vector is an amount of each resource: processors, accelerators and gigabytes of memory.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// unit is what rounded amounts are whole multiples of. Sums of these are exact, whatever the order in which
// they are added, so that decisions don't depend on the order of a map.
const unit = 1.0 / (1 << 30)

// Tolerance keeps the rounding of decimal amounts from refusing an exact fit.
const Tolerance = 1e-6

// Round rounds an amount to a multiple of a unit that keeps sums exact.
func Round(amount float64) float64 { return math.Round(amount/unit) * unit }

// New makes a vector of rounded amounts.
func New(cpus, gpus, memoryGB float64) Vector {
	return Vector{Round(cpus), Round(gpus), Round(memoryGB)}
}

// Plus adds two vectors.
func (v Vector) Plus(other Vector) Vector { return v.AddScaled(other, 1) }

// Minus subtracts a vector.
func (v Vector) Minus(other Vector) Vector { return v.AddScaled(other, -1) }

// AddScaled adds n times another vector; n may be negative.
func (v Vector) AddScaled(other Vector, n float64) Vector {
	return Vector{v.CPUs + n*other.CPUs, v.GPUs + n*other.GPUs, v.MemoryGB + n*other.MemoryGB}
}

// FitsIn reports whether an amount fits into what is available.
func (v Vector) FitsIn(available Vector) bool {
	return v.CPUs <= available.CPUs+Tolerance &&
		v.GPUs <= available.GPUs+Tolerance &&
		v.MemoryGB <= available.MemoryGB+Tolerance
}

// CountIn returns how many times an amount fits into what is available, at most protocol.MaxTasks.
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
