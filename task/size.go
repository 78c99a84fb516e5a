package task

import (
	"fmt"
	"math"
)

// Units of the fields of Size.
const (
	// MilliProcessor is one thousandth of a processor, the unit of
	// Size.Processors.
	MilliProcessor int64 = 1
	// Processor is one whole processor in units of Size.Processors.
	Processor int64 = 1000 * MilliProcessor
	// Mebibyte is 2^20 bytes in units of Size.Memory.
	Mebibyte int64 = 1 << 20
	// Gibibyte is 2^30 bytes in units of Size.Memory.
	Gibibyte int64 = 1 << 30
)

// Size is an amount of each resource that a worker offers or a task uses. The zero value
// is an empty amount.
type Size struct {
	// Processors is in thousandths of a processor.
	Processors int64 `json:"Processors" cbor:"1,keyasint,omitempty"`
	// Memory is in bytes.
	Memory int64 `json:"Memory" cbor:"2,keyasint,omitempty"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:"Accelerators,omitempty" cbor:"3,keyasint,omitempty"`
	// Slots counts long-running tasks: a batch or all-at-once task or a service replica
	// uses one.
	Slots int64 `json:"Slots,omitempty" cbor:"4,keyasint,omitempty"`
	// Connections counts requests in flight: a request uses one.
	Connections int64 `json:"Connections,omitempty" cbor:"5,keyasint,omitempty"`
}

// Plus returns the sum of s and t.
func (s Size) Plus(t Size) Size {
	s.Processors += t.Processors
	s.Memory += t.Memory
	s.Accelerators += t.Accelerators
	s.Slots += t.Slots
	s.Connections += t.Connections
	return s
}

// Minus returns s minus t. Fields of the result may be negative.
func (s Size) Minus(t Size) Size {
	s.Processors -= t.Processors
	s.Memory -= t.Memory
	s.Accelerators -= t.Accelerators
	s.Slots -= t.Slots
	s.Connections -= t.Connections
	return s
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	s.Processors *= n
	s.Memory *= n
	s.Accelerators *= n
	s.Slots *= n
	s.Connections *= n
	return s
}

// Fits reports whether no field of s exceeds that of free.
func (s Size) Fits(free Size) bool {
	return s.Processors <= free.Processors &&
		s.Memory <= free.Memory &&
		s.Accelerators <= free.Accelerators &&
		s.Slots <= free.Slots &&
		s.Connections <= free.Connections
}

// Headroom returns what may be added to used within the limit s. A zero field of s is no limit,
// and is math.MaxInt64 in the result; a negative one allows nothing. Fields of the result are
// negative where used exceeds the limit.
func (s Size) Headroom(used Size) Size {
	return Size{
		Processors:   headroom(s.Processors, used.Processors),
		Memory:       headroom(s.Memory, used.Memory),
		Accelerators: headroom(s.Accelerators, used.Accelerators),
		Slots:        headroom(s.Slots, used.Slots),
		Connections:  headroom(s.Connections, used.Connections),
	}
}

func headroom(limit, used int64) int64 {
	if limit == 0 {
		return math.MaxInt64
	}
	return max(limit, 0) - used
}

// CountIn returns how many times s fits into free, or 0 if s has no positive field.
func (s Size) CountIn(free Size) int64 {
	count := int64(math.MaxInt64)
	for _, pair := range [...][2]int64{
		{s.Processors, free.Processors}, {s.Memory, free.Memory}, {s.Accelerators, free.Accelerators}, {s.Slots, free.Slots}, {s.Connections, free.Connections},
	} {
		if pair[0] > 0 {
			count = min(count, max(0, pair[1])/pair[0])
		}
	}
	if count == math.MaxInt64 {
		return 0
	}
	return count
}

// IsZero reports whether every field is zero.
func (s Size) IsZero() bool { return s == Size{} }

// HasNegative reports whether any field is negative.
func (s Size) HasNegative() bool {
	return s.Processors < 0 || s.Memory < 0 || s.Accelerators < 0 ||
		s.Slots < 0 || s.Connections < 0
}

// DominantShare returns the largest share of total that s uses over processors, memory and
// accelerators, as in dominant resource fairness (Ghodsi et al., NSDI 2011). A resource
// that total lacks counts as share 0.
func (s Size) DominantShare(total Size) float64 {
	share := ratio(s.Processors, total.Processors)
	share = max(share, ratio(s.Memory, total.Memory))
	return max(share, ratio(s.Accelerators, total.Accelerators))
}

// String formats the processors, memory and accelerators of s.
func (s Size) String() string {
	return fmt.Sprintf("%g processors, %d MiB, %d accelerators",
		float64(s.Processors)/float64(Processor), s.Memory/Mebibyte, s.Accelerators)
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
