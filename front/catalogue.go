package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
)

const (
	// cataloguePauseShare is the longest pause between two reads of a large catalogue, as a
	// share of the time within which a version must be in force. The rest is for the read: at
	// 10 Mbit/s one of 1,450 queues takes 0.3 s, and one that fails is repeated after 1.8 s.
	cataloguePauseShare = 0.375
	// catalogueGraceShare is how long after another host a host may read a version before it
	// counts its call as lost, as a share of the time within which a version must be in force.
	catalogueGraceShare = 0.5
	// receivingCheckInterval is the interval of checks whether an answer still arrives, which
	// is not cut off.
	receivingCheckInterval = 200 * time.Millisecond
	// defaultCatalogueGrace is that time if the settings do not say when a version must be in
	// force.
	defaultCatalogueGrace = 1250 * time.Millisecond
)

// watchCatalogue follows the operator's table: the catalogue of queues, and waves. A version
// that is listed again is not decoded again.
func (h *Host) watchCatalogue(ctx context.Context) {
	var decoded ledger.Version
	onChange := func(r ledger.Row) {
		if h.handleWaveRow(r) || r.Key != platform.CatalogueKey || r.Deleted || r.Version == decoded {
			return
		}
		decoded = r.Version
		c, err := platform.DecodeCatalogue(r)
		if err != nil {
			h.log.WithField("why", err.Error()).Warn("front: invalid operator configuration ignored")
			return
		}
		if !h.forwarder.SetCatalogue(c) {
			return
		}
		h.log.WithFields(logrus.Fields{"version": c.Version, "queues": len(c.Queues), "organisations": len(c.Organisations), "checks_keys": c.ChecksKeys}).Info("front: configuration in force")
		for _, fault := range c.Faults {
			h.log.WithFields(logrus.Fields{"version": c.Version, "why": fault}).Warn("front: part of the configuration ignored")
		}
		if o := h.localOwner(); o != nil {
			o.SetCatalogue(c)
			// The next announcement to 300 hosts may be 3 s away.
			h.announceOwner()
		}
	}
	ledger.Watch{
		Store: h.operatorTable, Table: platform.OperatorTable,
		OnChange: onChange, ListAfterGap: true, Reissue: h.catalogueRefresh.Values(),
		LargeRowPause: time.Duration(cataloguePauseShare * float64(h.settings().CatalogueTime)),
		OnError:       func(err error) { h.log.WithField("why", err.Error()).Warn("front: configuration not read") },
	}.Run(ctx)
}

// noteCatalogueVersion notes the version that another host has in force. If this host has none as
// new some time later, its feed call counts as lost and is made again: the store may have lost
// its answer, for which the call would wait for 16 s.
func (h *Host) noteCatalogueVersion(from string, version int64) {
	if version <= h.forwarder.CatalogueVersion() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.newestCatalogue {
		return
	}
	h.newestCatalogue = version
	var check func()
	check = func() {
		own := h.forwarder.CatalogueVersion()
		if own >= version {
			return
		}
		if h.operatorTable.Pending() {
			time.AfterFunc(receivingCheckInterval, check)
			return
		}
		h.operatorTable.Distrust()
		h.log.WithFields(logrus.Fields{"version": own, "newer": version, "host": from}).Warn("front: configuration older than that of another host is read again")
		// If the ring is full, a reissue is already due.
		_ = h.catalogueRefresh.TryPut(struct{}{})
	}
	time.AfterFunc(h.catalogueGrace(), check)
}

func (h *Host) catalogueGrace() time.Duration {
	if t := h.settings().CatalogueTime; t > 0 {
		return time.Duration(catalogueGraceShare * float64(t))
	}
	return defaultCatalogueGrace
}
