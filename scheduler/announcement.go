package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// rejectionLogInterval is the interval between two log lines about one row that
	// announces no worker.
	rejectionLogInterval = time.Minute
	// maxRejectionLogs bounds the log lines about all such rows in that interval.
	maxRejectionLogs = 50
)

// announcement is a row of the worker table.
type announcement struct {
	id     string
	worker workload.Worker
	// usable reports whether the row announces a worker. If not it was removed, or it is of
	// another writer.
	usable bool
}

// decodeAnnouncement decodes a row of the worker table. Only one goroutine may use it at a
// time.
func (o *Owner) decodeAnnouncement(r ledger.Row) announcement {
	if r.Deleted {
		return announcement{id: r.Key}
	}
	w, err := platform.DecodeWorker(r)
	if err != nil {
		if ok, withheld := o.rejections.allow(clock.Now(), r.Key); ok {
			o.log.WithFields(logrus.Fields{"worker": r.Key, "version": r.Version, "why": err.Error(), "withheld": withheld}).Warn("scheduler: worker announcement ignored")
		}
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

// rejectionLog limits the log lines about rows that announce no worker, which another writer
// may write often. The zero value is ready to use.
type rejectionLog struct {
	// begun is when the current interval began, and logged holds the keys logged in it.
	begun  time.Duration
	logged map[string]bool
	// withheld is the number of lines not logged since the last one.
	withheld int
}

// allow reports whether to log a line about a row, and how many were withheld since the last
// one.
func (l *rejectionLog) allow(now time.Duration, key string) (ok bool, withheld int) {
	if l.logged == nil || now-l.begun >= rejectionLogInterval {
		l.begun, l.logged = now, map[string]bool{}
	}
	if l.logged[key] || len(l.logged) >= maxRejectionLogs {
		l.withheld++
		return false, 0
	}
	l.logged[key] = true
	withheld, l.withheld = l.withheld, 0
	return true, withheld
}
