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
	// upkeepInterval is the pause between two lists of machines while a wave is
	// under way; the service takes 60 readings a second of all hosts.
	upkeepInterval = 500 * time.Millisecond
	// statusRing bounds the rows for the operator that wait to be written.
	statusRing = 64
	// orderlyBound is how old the last transaction may be for an order to a
	// machine: two renewals.
	orderlyBound = time.Second
)

// Machines is the service of machines.
type Machines interface {
	List(ctx context.Context) ([]upkeep.Machine, error)
	Upkeep(ctx context.Context, holder string, fence int64, o upkeep.Order) upkeep.Outcome
}

// waves is the part of an owner that tends to the machines of waves.
type waves struct {
	planner *upkeep.Planner
	// restored holds what an earlier owner recorded.
	restored map[int64]upkeep.Progress
	status   *ring.Ring[upkeep.Progress]

	mu sync.Mutex
	// fresh holds waves that the planner does not know yet.
	fresh []upkeep.Wave
	// active tells the duty that a wave is under way.
	active bool
}

// SetWave takes a wave of the operator.
func (o *Owner) SetWave(w upkeep.Wave) {
	o.waves.mu.Lock()
	defer o.waves.mu.Unlock()
	o.waves.fresh = append(o.waves.fresh, w)
}

// takeWaves hands waves that are new to the planner.
func (o *Owner) takeWaves(now time.Duration) {
	o.waves.mu.Lock()
	fresh := o.waves.fresh
	o.waves.fresh = nil
	o.waves.mu.Unlock()
	for _, w := range fresh {
		p, restored := o.waves.restored[w.Number]
		if isNew := o.waves.planner.AddWave(waveBegan(now, p), w); restored && isNew {
			o.waves.planner.Restore(now, p)
		}
	}
	active := o.waves.planner.Active()
	o.waves.mu.Lock()
	o.waves.active = active
	o.waves.mu.Unlock()
	o.recordWaves()
}

// waveBegan returns when a wave began by what an earlier owner recorded: its time goes on.
func waveBegan(now time.Duration, p upkeep.Progress) time.Duration {
	if p.Since == 0 {
		return now
	}
	return now - max(0, time.Duration(time.Now().UnixMilli()-p.Since)*time.Millisecond)
}

// recordWaves records what has changed of waves, and tells the operator after that.
func (o *Owner) recordWaves() {
	for _, p := range o.waves.planner.Changes() {
		p.Since = time.Now().Add(o.waves.planner.WaveStart(p.Wave) - clock.Now()).UnixMilli()
		o.records.waves = append(o.records.waves, p)
		o.log.WithFields(logrus.Fields{"wave": p.Wave, "begun": len(p.Begun), "done": p.Done}).Info("upkeep: wave")
		o.effects = append(o.effects, func() {
			if err := o.waves.status.TryPut(p); err != nil {
				o.log.WithField("wave", p.Wave).Warn("upkeep: status not told")
			}
		})
	}
}

// tend lists the machines of waves and takes them down in turn.
func (o *Owner) tend(ctx context.Context) {
	// An earlier holder may have given an order just now.
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
		asked := clock.Now()
		list, err := o.machines.List(ctx)
		if err != nil {
			o.log.WithField("why", err.Error()).Warn("upkeep: machines not listed")
			continue
		}
		for _, order := range o.planUpkeep(ctx, asked, list) {
			o.takeDown(ctx, order)
		}
	}
}

// planUpkeep lets the decision duty plan by a list of machines.
func (o *Owner) planUpkeep(ctx context.Context, asked time.Duration, list []upkeep.Machine) []upkeep.Order {
	planned := make(chan []upkeep.Order, 1)
	o.deliver(ctx, func(now time.Duration) {
		o.waves.planner.SetMachines(asked, list)
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

// takeDown gives one order, if nobody else can have the cell.
func (o *Owner) takeDown(ctx context.Context, order upkeep.Order) {
	answer := upkeep.Busy
	if o.recordedWithin(clock.Now(), orderlyBound) {
		answer = o.machines.Upkeep(ctx, o.options.Holder, o.Fence(), order)
	}
	o.log.WithFields(logrus.Fields{"wave": order.Wave, "machine": order.Machine, "answer": answer, "fence": o.Fence()}).Info("upkeep: machine ordered down")
	o.deliver(ctx, func(now time.Duration) {
		o.waves.planner.RecordOutcome(now, order, answer)
		o.recordWaves()
	})
}

// tellWaves writes the rows for the operator.
func (o *Owner) tellWaves(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-o.waves.status.Values():
			row, err := platform.WaveStatus(p)
			if err != nil {
				o.log.WithError(err).Error("upkeep: status")
				continue
			}
			ledger.Put(ctx, o.store, row, upkeepInterval)
		}
	}
}

// waveChanges returns the rows of waves to write.
func waveChanges(part string, list []upkeep.Progress) ([]ledger.Change, error) {
	var changes []ledger.Change
	for _, p := range list {
		value, err := codec.Marshal(p)
		if err != nil {
			return nil, errors.Annotatef(err, "wave %d", p.Wave)
		}
		row := ledger.Row{Table: ledger.WaveTable, Part: part, Key: strconv.FormatInt(p.Wave, 10), Value: value}
		changes = append(changes, ledger.Change{Writes: []ledger.Row{row}})
	}
	return changes, nil
}

// recoverWaves reads what an earlier owner recorded of waves.
func (o *Owner) recoverWaves(ctx context.Context) error {
	rows, _, err := ledger.ReadAll(ctx, o.store, ledger.WaveTable, o.options.Cell)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var p upkeep.Progress
		if err := codec.Unmarshal(r.Value, &p); err != nil {
			return errors.Annotatef(err, "wave %s", r.Key)
		}
		o.waves.restored[p.Wave] = p
	}
	return nil
}
