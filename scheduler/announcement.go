package scheduler

import (
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

// announcement is a row of the worker table.
type announcement struct {
	id     string
	worker workload.Worker
	// usable reports whether the row announces a worker. If not it was removed, or it is of
	// another writer.
	usable bool
}

// decodeAnnouncement decodes a row of the worker table.
func (o *Owner) decodeAnnouncement(r ledger.Row) announcement {
	if r.Deleted {
		return announcement{id: r.Key}
	}
	w, err := platform.DecodeWorker(r)
	if err != nil {
		o.log.WithFields(logrus.Fields{"worker": r.Key, "version": r.Version, "why": err.Error()}).Warn("scheduler: worker announcement ignored")
		return announcement{id: r.Key}
	}
	return announcement{id: r.Key, worker: w, usable: true}
}

func (o *Owner) decodeAnnouncements(rows []ledger.Row) []announcement {
	list := make([]announcement, len(rows))
	for i, r := range rows {
		list[i] = o.decodeAnnouncement(r)
	}
	return list
}
