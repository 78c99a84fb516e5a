package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/timer"
)

// refusedKeysLogInterval is the interval of log lines on refused keys. There is none for each
// request, as callers with unknown keys may send any number.
const refusedKeysLogInterval = 5 * time.Second

// logRefusedKeys logs how many requests were refused for their keys, while there are any.
func (h *Host) logRefusedKeys(ctx context.Context) {
	var missing, unknown int64
	for timer.Sleep(ctx, refusedKeysLogInterval) {
		m, u := h.ingress.MissingKeys.Load(), h.ingress.UnknownKeys.Load()
		if m != missing || u != unknown {
			h.log.WithFields(logrus.Fields{"missing": m - missing, "unknown": u - unknown, "version": h.forwarder.CatalogueVersion()}).Warn("front: requests refused for their keys")
		}
		missing, unknown = m, u
	}
}
