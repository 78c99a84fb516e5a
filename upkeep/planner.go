package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxDrainWait is how long a machine waits for its tasks to end, if the wave has
	// the time.
	maxDrainWait = 8 * time.Second
	// busyBackoff is the pause after an order to a machine that was busy.
	busyBackoff = time.Second
	// orderRetryInterval is the pause after which an order without an answer is given
	// again; one that was carried out has no further effect.
	orderRetryInterval = 2 * time.Second
)

// Workers tells what runs on workers.
type Workers interface {
	// Runs returns how many runs a worker has.
	Runs(worker string) int
	// MayEnd reports whether all runs of a worker may be ended now without
	// taking too many tasks of a service away.
	MayEnd(worker string) bool
}

// Planner plans all waves. Use New to make one.
type Planner struct {
	// duration is how long an upkeep takes.
	duration time.Duration
	waves    map[int64]*wave
	machines map[string]Machine
	// listedAt is when the list of machines was asked for.
	listedAt time.Duration
	// changedWaves holds the waves whose progress is to be recorded.
	changedWaves []int64
}

// wave is a wave under way.
type wave struct {
	Wave
	begun map[string]bool
	// downSince holds the machines that may be down, and since when.
	downSince map[string]time.Duration
	// selectedSince holds the machines that wait for their tasks to end, and since when.
	selectedSince map[string]time.Duration
	// backoffUntil holds machines that were busy, until when they rest.
	backoffUntil map[string]time.Duration
	startedAt    time.Duration
	done         bool
}

// New returns a planner of upkeeps that take a time.
func New(duration time.Duration) *Planner {
	return &Planner{duration: duration, waves: map[int64]*wave{}, machines: map[string]Machine{}}
}

// AddWave takes a wave that began at a time, and reports whether it is new; one that is
// known is not changed.
func (p *Planner) AddWave(since time.Duration, w Wave) bool {
	if p.waves[w.Number] != nil {
		return false
	}
	w.MaxDown = max(1, w.MaxDown)
	p.waves[w.Number] = &wave{
		Wave: w, startedAt: since, begun: map[string]bool{}, downSince: map[string]time.Duration{},
		selectedSince: map[string]time.Duration{}, backoffUntil: map[string]time.Duration{},
	}
	p.changedWaves = append(p.changedWaves, w.Number)
	return true
}

// WaveStart returns when a wave began.
func (p *Planner) WaveStart(number int64) time.Duration {
	if w := p.waves[number]; w != nil {
		return w.startedAt
	}
	return 0
}

// Restore takes what an earlier owner recorded of a wave. Each machine that has begun
// may still be down.
func (p *Planner) Restore(now time.Duration, r Progress) {
	w := p.waves[r.Wave]
	if w == nil {
		return
	}
	w.done = r.Done
	for _, id := range r.Begun {
		w.begun[id] = true
		if !r.Done {
			w.downSince[id] = now
		}
	}
}

// SetMachines takes the list of machines that was asked for at a time.
func (p *Planner) SetMachines(asked time.Duration, list []Machine) {
	p.listedAt = asked
	p.machines = make(map[string]Machine, len(list))
	for _, m := range list {
		p.machines[m.ID] = m
	}
}

// Active reports whether a wave is not done.
func (p *Planner) Active() bool {
	for _, w := range p.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// Plan returns the orders that are due, and the workers that must get nothing new
// because their machines are next.
func (p *Planner) Plan(now time.Duration, workers Workers) (orders []Order, reserved []string) {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if w.done {
			continue
		}
		p.removeReturned(w)
		p.selectMachines(now, w, workers)
		orders = append(orders, p.dueOrders(now, w, workers)...)
		for id := range w.selectedSince {
			reserved = append(reserved, p.machines[id].Worker)
		}
		if len(w.begun) == len(w.Machines) && len(w.downSince) == 0 {
			w.done = true
			p.changedWaves = append(p.changedWaves, number)
		}
	}
	slices.Sort(reserved)
	return orders, reserved
}

// removeReturned takes machines off that are back: the list was asked for after their upkeep
// was over and has them up, or lacks them.
func (p *Planner) removeReturned(w *wave) {
	for id, since := range w.downSince {
		m, known := p.machines[id]
		if p.listedAt > since+p.duration && (!known || m.State == Up) && w.begun[id] {
			delete(w.downSince, id)
		}
	}
}

// downCount counts the machines of a wave that may be down, also those that are down for
// another reason.
func (p *Planner) downCount(w *wave) int {
	n := len(w.downSince)
	for _, id := range w.Machines {
		if _, counted := w.downSince[id]; !counted && p.machines[id].State == Down {
			n++
		}
	}
	return n
}

// selectMachines picks the machines that go next: as many as may be down, the emptiest first.
func (p *Planner) selectMachines(now time.Duration, w *wave, workers Workers) {
	for id := range w.selectedSince {
		if m, ok := p.machines[id]; ok && m.State != Up {
			delete(w.selectedSince, id)
		}
	}
	var candidates []string
	for _, id := range w.Machines {
		_, isChosen := w.selectedSince[id]
		_, isDown := w.downSince[id]
		if m, ok := p.machines[id]; !w.begun[id] && !isChosen && !isDown && now >= w.backoffUntil[id] && ok && m.State == Up {
			candidates = append(candidates, id)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(workers.Runs(p.machines[a].Worker), workers.Runs(p.machines[b].Worker)), cmp.Compare(a, b))
	})
	for _, id := range candidates {
		if len(w.selectedSince)+p.downCount(w) >= w.MaxDown {
			return
		}
		w.selectedSince[id] = now
	}
}

// dueOrders returns the orders to chosen machines that are empty, or whose time has come.
func (p *Planner) dueOrders(now time.Duration, w *wave, workers Workers) []Order {
	var orders []Order
	for _, id := range w.Machines {
		if since, ok := w.downSince[id]; ok && !w.begun[id] && now-since >= orderRetryInterval {
			w.downSince[id] = now
			orders = append(orders, Order{Wave: w.Number, Machine: id})
		}
	}
	for _, id := range w.Machines {
		since, ok := w.selectedSince[id]
		if !ok || p.downCount(w) >= w.MaxDown {
			continue
		}
		worker := p.machines[id].Worker
		if workers.Runs(worker) > 0 && (now-since < p.maxWait(now, w) || !workers.MayEnd(worker)) {
			continue
		}
		delete(w.selectedSince, id)
		w.downSince[id] = now
		orders = append(orders, Order{Wave: w.Number, Machine: id})
	}
	return orders
}

// maxWait returns how long a machine may wait for its tasks, so that the rest of the wave
// is in time.
func (p *Planner) maxWait(now time.Duration, w *wave) time.Duration {
	turns := (len(w.Machines) - len(w.begun) + w.MaxDown - 1) / w.MaxDown
	if turns == 0 {
		return 0
	}
	left := w.startedAt + w.Within - now
	return max(0, min(maxDrainWait, left/time.Duration(turns)-p.duration-time.Second))
}

// RecordOutcome tells what became of an order.
func (p *Planner) RecordOutcome(now time.Duration, o Order, a Outcome) {
	w := p.waves[o.Wave]
	if w == nil {
		return
	}
	switch a {
	case Begun:
		w.downSince[o.Machine] = now
		p.recordBegun(w, o.Machine)
	case Absent:
		delete(w.downSince, o.Machine)
		p.recordBegun(w, o.Machine)
	case Busy:
		delete(w.downSince, o.Machine)
		w.backoffUntil[o.Machine] = now + busyBackoff
	case Unknown:
		// It may be down, and counts so until it is known; due orders it again.
		w.downSince[o.Machine] = now
	}
}

func (p *Planner) recordBegun(w *wave, machine string) {
	if !w.begun[machine] {
		w.begun[machine] = true
		p.changedWaves = append(p.changedWaves, w.Number)
	}
}

// Changes returns the progress of the waves that have changed since the last call.
func (p *Planner) Changes() []Progress {
	slices.Sort(p.changedWaves)
	var changes []Progress
	for _, number := range slices.Compact(p.changedWaves) {
		w := p.waves[number]
		changes = append(changes, Progress{Wave: number, Done: w.done, Begun: slices.Sorted(maps.Keys(w.begun))})
	}
	p.changedWaves = nil
	return changes
}
