package scheduler

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/timer"
	"github.com/vanillaquay/vanillaquay/upkeep"
)

const (
	// upkeepInterval is the interval between two requests for the list of machines while
	// a wave is in progress; the machine service allows 60 reads per second from all
	// hosts together.
	upkeepInterval = 500 * time.Millisecond
	// maxQueuedStatuses bounds the wave statuses queued for writing.
	maxQueuedStatuses = 64
	// maxOrderCommitAge is the maximum age of the last commit when a machine is ordered
	// down: two lease renewals.
	maxOrderCommitAge = time.Second
)

// Machines is the machine service.
type Machines interface {
	List(ctx context.Context) ([]upkeep.Machine, error)
	Upkeep(ctx context.Context, holder string, fence int64, o upkeep.Order) upkeep.Outcome
}

// waves is the state of an owner's upkeep waves.
type waves struct {
	planner *upkeep.Planner
	// restored holds the progress that earlier owners recorded.
	restored map[int64]upkeep.Progress
	status   *ring.Ring[upkeep.Progress]

	mu sync.Mutex
	// unplanned holds waves that have not been handed to the planner yet.
	unplanned []upkeep.Wave
	// active reports whether a wave is in progress.
	active bool
}

// SetWave hands over a wave of the operator, which the event loop passes to the planner.
func (o *Owner) SetWave(w upkeep.Wave) {
	o.waves.mu.Lock()
	defer o.waves.mu.Unlock()
	o.waves.unplanned = append(o.waves.unplanned, w)
}

// planNewWaves hands new waves to the planner.
func (o *Owner) planNewWaves(now time.Duration) {
	o.waves.mu.Lock()
	added := o.waves.unplanned
	o.waves.unplanned = nil
	o.waves.mu.Unlock()
	for _, w := range added {
		p, restored := o.waves.restored[w.Number]
		if isNew := o.waves.planner.AddWave(waveStart(now, p), w); restored && isNew {
			o.waves.planner.Restore(now, p)
		}
	}
	active := o.waves.planner.Active()
	o.waves.mu.Lock()
	o.waves.active = active
	o.waves.mu.Unlock()
	o.recordWaves()
}

// waveStart returns when a wave began according to its recorded progress, so that its
// time continues across takeovers. A wave without a record begins now.
func waveStart(now time.Duration, p upkeep.Progress) time.Duration {
	if p.Since == 0 {
		return now
	}
	return now - max(0, time.Duration(time.Now().UnixMilli()-p.Since)*time.Millisecond)
}

// recordWaves records the changed progress of waves, and publishes it to the operator
// once it is durable.
func (o *Owner) recordWaves() {
	for _, p := range o.waves.planner.Changes() {
		p.Since = time.Now().Add(o.waves.planner.WaveStart(p.Wave) - clock.Now()).UnixMilli()
		o.records.waves = append(o.records.waves, p)
		o.log.WithFields(logrus.Fields{"wave": p.Wave, "begun": len(p.Begun), "done": p.Done, "blocked": p.Blocked}).Info("upkeep: wave progress changed")
		o.pendingEffects = append(o.pendingEffects, effect{run: func() {
			if err := o.waves.status.TryPut(p); err != nil {
				o.log.WithField("wave", p.Wave).Warn("upkeep: wave status dropped")
			}
		}})
	}
}

// runUpkeep lists the machines while a wave is in progress, and orders machines down one
// after the other.
func (o *Owner) runUpkeep(ctx context.Context) {
	// An earlier owner may have sent an order shortly before.
	if !timer.Sleep(ctx, o.options.TakeoverPause) {
		return
	}
	for timer.Sleep(ctx, upkeepInterval) {
		o.waves.mu.Lock()
		active := o.waves.active
		o.waves.mu.Unlock()
		if !active {
			continue
		}
		requested := clock.Now()
		list, err := o.machines.List(ctx)
		if err != nil {
			o.log.WithField("why", err.Error()).Warn("upkeep: list of machines not read")
			continue
		}
		for _, order := range o.planUpkeep(ctx, requested, list) {
			o.orderDown(ctx, order)
		}
	}
}

// planUpkeep makes the event loop plan upkeep for a list of machines, and returns its
// orders. requested is when the list was requested.
func (o *Owner) planUpkeep(ctx context.Context, requested time.Duration, list []upkeep.Machine) []upkeep.Order {
	planned := make(chan []upkeep.Order, 1)
	o.enqueue(ctx, func(now time.Duration) {
		o.waves.planner.SetMachines(requested, list)
		orders, reserved := o.waves.planner.Plan(now, o.cell)
		o.cell.Reserve(reserved)
		o.recordWaves()
		planned <- orders
	})
	select {
	case orders := <-planned:
		return orders
	case <-ctx.Done():
		return nil
	}
}

// orderDown orders one machine down, unless another host may own the cell by now.
func (o *Owner) orderDown(ctx context.Context, order upkeep.Order) {
	outcome := upkeep.Busy
	if o.ownedWithin(clock.Now(), maxOrderCommitAge) {
		outcome = o.machines.Upkeep(ctx, o.options.Holder, o.Fence(), order)
	}
	o.log.WithFields(logrus.Fields{"wave": order.Wave, "machine": order.Machine, "answer": outcome, "fence": o.Fence()}).Info("upkeep: machine ordered down")
	o.enqueue(ctx, func(now time.Duration) {
		o.waves.planner.RecordOutcome(now, order, outcome)
		o.recordWaves()
	})
}

// writeWaveStatuses writes the status rows for the operator.
func (o *Owner) writeWaveStatuses(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-o.waves.status.Values():
			row, err := platform.WaveStatus(p)
			if err != nil {
				o.log.WithError(err).Error("upkeep: wave status not encoded")
				continue
			}
			ledger.PutUnlessFinal(ctx, o.store, row, upkeepInterval, platform.IsWaveDone)
		}
	}
}

// waveChanges returns the rows for the progress of waves.
func waveChanges(part string, list []upkeep.Progress) ([]ledger.Change, error) {
	var changes []ledger.Change
	for _, p := range list {
		value, err := codec.Marshal(p)
		if err != nil {
			return nil, errors.Annotatef(err, "encoding wave %d", p.Wave)
		}
		row := ledger.Row{Table: ledger.WaveTable, Part: part, Key: strconv.FormatInt(p.Wave, 10), Value: value}
		changes = append(changes, ledger.Change{Writes: []ledger.Row{row}})
	}
	return changes, nil
}

// recoverWaves loads the wave progress that earlier owners recorded.
func (o *Owner) recoverWaves(ctx context.Context) error {
	rows, _, err := ledger.ReadAll(ctx, o.store, ledger.WaveTable, o.options.Cell)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var p upkeep.Progress
		if err := codec.Unmarshal(r.Value, &p); err != nil {
			return errors.Annotatef(err, "decoding wave %s", r.Key)
		}
		o.waves.restored[p.Wave] = p
	}
	return nil
}
