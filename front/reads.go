package front

import (
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/platform"
)

// minLoggedRead is the size from which a read of the store is logged, in bytes.
const minLoggedRead = 32 << 10

// logRead logs a read of the store that was large, or of which a part arrived.
func (h *Host) logRead(r platform.ReadStats) {
	lost := r.Err != nil && r.HeaderAfter > 0
	if r.Bytes < minLoggedRead && !lost {
		return
	}
	fields := logrus.Fields{"table": r.Table, "bytes": r.Bytes, "wait_ms": r.Wait.Milliseconds(), "header_ms": r.HeaderAfter.Milliseconds(), "ms": r.Took.Milliseconds()}
	if !lost {
		h.log.WithFields(fields).Info("front: large read of the store")
		return
	}
	fields["why"] = r.Err.Error()
	h.log.WithFields(fields).Warn("front: read of the store cut off")
}
