package quantity

import (
	"encoding/json"
	"math"
	"regexp"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bytes is a number of bytes, written as "512B", "64KiB", "256MiB" or "2GiB".
type Bytes int64

// byteUnits lists the units in decreasing size.
var byteUnits = []struct {
	name string
	size int64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

var bytesPattern = regexp.MustCompile(`^([0-9]+)(TiB|GiB|MiB|KiB|B)$`)

// ParseBytes parses a size with its unit.
func ParseBytes(text string) (Bytes, error) {
	match := bytesPattern.FindStringSubmatch(text)
	if match == nil {
		return 0, errors.NotValidf("size %q (want a whole number with B, KiB, MiB, GiB or TiB)", text)
	}
	number, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return 0, errors.NotValidf("size %q (too large)", text)
	}
	for _, u := range byteUnits {
		if u.name != match[2] {
			continue
		}
		if number > math.MaxInt64/u.size {
			return 0, errors.NotValidf("size %q (too large)", text)
		}
		return Bytes(number * u.size), nil
	}
	return 0, errors.NotValidf("size %q", text)
}

// String returns the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && int64(b)%u.size == 0 {
			return strconv.FormatInt(int64(b)/u.size, 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	parsed, err := ParseBytes(string(text))
	if err != nil {
		return err
	}
	*b = parsed
	return nil
}

// Duration is a time span, written as "250ms", "30s" or "1h30m".
type Duration time.Duration

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NotValidf("duration %q (want a number with ns, us, ms, s, m or h)", text)
	}
	*d = Duration(parsed)
	return nil
}

// Size is an amount of resources. The zero value is an empty amount.
type Size struct {
	// Processors may be fractional, down to a thousandth.
	Processors float64 `json:",omitempty"`
	Memory     Bytes   `json:",omitempty"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:",omitempty"`
}

// maxProcessors bounds Processors, so that its thousandths fit in an int64.
const maxProcessors = 1e9

// UnmarshalJSON implements json.Unmarshaler. It rejects unknown fields.
func (s *Size) UnmarshalJSON(data []byte) error {
	type plain Size
	var p plain
	if err := DecodeStrict(data, &p); err != nil {
		return err
	}
	if p.Processors < 0 || p.Processors > maxProcessors {
		return errors.NotValidf("Processors %g (want 0 to %g)", p.Processors, maxProcessors)
	}
	if p.Accelerators < 0 {
		return errors.NotValidf("Accelerators %d (want 0 or more)", p.Accelerators)
	}
	*s = Size(p)
	return nil
}

// TaskSize returns the size in the units of package task.
func (s Size) TaskSize() task.Size {
	return task.Size{
		Processors:   int64(math.Round(s.Processors * float64(task.Processor))),
		Memory:       int64(s.Memory),
		Accelerators: s.Accelerators,
	}
}

// FromTaskSize converts a size of package task.
func FromTaskSize(s task.Size) Size {
	return Size{
		Processors:   float64(s.Processors) / float64(task.Processor),
		Memory:       Bytes(s.Memory),
		Accelerators: s.Accelerators,
	}
}

var _ json.Unmarshaler = (*Size)(nil)
