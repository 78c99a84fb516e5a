package settings

import (
	"time"

	"github.com/vanillaquay/vanillaquay/quantity"
)

// parseAmount parses a duration, returned in nanoseconds, or a size, returned in
// bytes.
func parseAmount(text string) (int64, bool) {
	if d, err := time.ParseDuration(text); err == nil {
		return int64(d), true
	}
	b, err := quantity.ParseBytes(text)
	return int64(b), err == nil
}
