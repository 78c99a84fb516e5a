package settings

import (
	"time"

	"github.com/vanillaquay/vanillaquay/quantity"
)

// parseAmount returns a duration in nanoseconds or a size in bytes.
func parseAmount(text string) (int64, bool) {
	if d, err := time.ParseDuration(text); err == nil {
		return int64(d), true
	}
	b, err := quantity.ParseBytes(text)
	return int64(b), err == nil
}
