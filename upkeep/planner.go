package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxDrainWait bounds the time that a machine waits for tasks to end that may be stopped;
	// the wave may leave less.
	maxDrainWait = 8 * time.Second
	// busyBackoff is how long a machine that was busy is not selected again.
	busyBackoff = time.Second
	// orderRetryInterval is the interval after which an unanswered order is sent again;
	// repeating an order that was carried out has no effect.
	orderRetryInterval = 2 * time.Second
)

// Workers describes the load of workers.
type Workers interface {
	// Runs returns the number of runs on a worker.
	Runs(worker string) int
	// MayEnd reports whether all runs of a worker may be stopped now without stopping too
	// many tasks of a service. Tasks on workers for which isUp returns false count as stopped.
	MayEnd(worker string, isUp func(worker string) bool) bool
}

// Planner plans the orders of all waves. Create one with New.
type Planner struct {
	// duration is how long the upkeep of a machine takes.
	duration time.Duration
	waves    map[int64]*wave
	machines map[string]Machine
	// machineOf holds the machine of each worker.
	machineOf map[string]string
	// listedAt is when the list of machines was requested.
	listedAt time.Duration
	// changedWaves holds the numbers of the waves whose progress must be recorded.
	changedWaves []int64
}

// wave is a wave with its progress.
type wave struct {
	Wave
	begun map[string]bool
	// downSince holds the machines that may be down, with the time of the last order or
	// answer.
	downSince map[string]time.Duration
	// selectedSince holds the machines that wait for their tasks to end, and since when.
	selectedSince map[string]time.Duration
	// backoffUntil holds the time until which a machine that was busy is not selected.
	backoffUntil map[string]time.Duration
	startedAt    time.Duration
	done         bool
	// blocked holds the machines that wait because too many tasks of a service are
	// unavailable.
	blocked map[string]bool
}

// New returns a planner for upkeeps of the given duration.
func New(duration time.Duration) *Planner {
	return &Planner{duration: duration, waves: map[int64]*wave{}, machines: map[string]Machine{}}
}

// AddWave adds a wave that began at startedAt, and reports whether it is new; a known wave
// is not changed.
func (p *Planner) AddWave(startedAt time.Duration, w Wave) bool {
	if p.waves[w.Number] != nil {
		return false
	}
	w.MaxDown = max(1, w.MaxDown)
	p.waves[w.Number] = &wave{
		Wave: w, startedAt: startedAt, begun: map[string]bool{}, downSince: map[string]time.Duration{},
		selectedSince: map[string]time.Duration{}, backoffUntil: map[string]time.Duration{}, blocked: map[string]bool{},
	}
	p.changedWaves = append(p.changedWaves, w.Number)
	return true
}

// WaveStart returns when a wave began, or 0 for an unknown wave.
func (p *Planner) WaveStart(number int64) time.Duration {
	if w := p.waves[number]; w != nil {
		return w.startedAt
	}
	return 0
}

// Restore restores the progress that an earlier owner recorded for a wave. Unless the wave
// is done, each machine whose upkeep has begun may still be down.
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

// SetMachines sets the list of machines, which was requested at requestedAt.
func (p *Planner) SetMachines(requestedAt time.Duration, list []Machine) {
	p.listedAt = requestedAt
	p.machines, p.machineOf = make(map[string]Machine, len(list)), make(map[string]string, len(list))
	for _, m := range list {
		p.machines[m.ID], p.machineOf[m.Worker] = m, m.ID
	}
}

// isUp reports whether a worker's machine is certainly up: it is listed as up, and no order to
// take it down, of any wave, may have been carried out since. An order counts from when it is
// planned. The list, not the waves alone, shows the orders of earlier owners.
func (p *Planner) isUp(worker string) bool {
	id, listed := p.machineOf[worker]
	if !listed || p.machines[id].State != Up {
		return false
	}
	for _, w := range p.waves {
		if _, down := w.downSince[id]; down {
			return false
		}
	}
	return true
}

// Active reports whether any wave is not done.
func (p *Planner) Active() bool {
	for _, w := range p.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// Plan returns the orders that are due, and the workers that must get no new runs because
// their machines go down next.
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

// removeReturned removes machines that are back from those that may be down: a list
// requested after the end of their upkeep shows them as up, or no longer has them.
func (p *Planner) removeReturned(w *wave) {
	for id, since := range w.downSince {
		m, known := p.machines[id]
		if p.listedAt > since+p.duration && (!known || m.State == Up) && w.begun[id] {
			delete(w.downSince, id)
		}
	}
}

// downCount returns the number of machines of a wave that may be down, including those that
// are down for another reason.
func (p *Planner) downCount(w *wave) int {
	n := len(w.downSince)
	for _, id := range w.Machines {
		if _, counted := w.downSince[id]; !counted && p.machines[id].State == Down {
			n++
		}
	}
	return n
}

// selectMachines selects the machines that go down next, as many as may be down, those with
// the fewest runs first.
func (p *Planner) selectMachines(now time.Duration, w *wave, workers Workers) {
	for id := range w.selectedSince {
		if m, ok := p.machines[id]; ok && m.State != Up {
			delete(w.selectedSince, id)
		}
	}
	var candidates []string
	for _, id := range w.Machines {
		_, isSelected := w.selectedSince[id]
		_, isDown := w.downSince[id]
		if m, ok := p.machines[id]; !w.begun[id] && !isSelected && !isDown && now >= w.backoffUntil[id] && ok && m.State == Up {
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

// dueOrders returns the orders to selected machines that are empty or have waited long
// enough, and again the orders that were not answered in time.
func (p *Planner) dueOrders(now time.Duration, w *wave, workers Workers) []Order {
	var orders []Order
	for _, id := range w.Machines {
		if since, ok := w.downSince[id]; ok && !w.begun[id] && now-since >= orderRetryInterval {
			// The first order may have been lost, so that this one ends the tasks.
			if worker := p.machines[id].Worker; workers.Runs(worker) > 0 && !workers.MayEnd(worker, p.isUp) {
				continue
			}
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
		if workers.Runs(worker) > 0 {
			if now-since < p.maxWait(now, w) {
				continue
			}
			if !workers.MayEnd(worker, p.isUp) {
				p.markBlocked(w, id)
				continue
			}
		}
		delete(w.blocked, id)
		delete(w.selectedSince, id)
		w.downSince[id] = now
		orders = append(orders, Order{Wave: w.Number, Machine: id})
	}
	return orders
}

// markBlocked notes that a machine waits for the disruption budget of a service.
func (p *Planner) markBlocked(w *wave, id string) {
	if !w.blocked[id] {
		w.blocked[id] = true
		p.changedWaves = append(p.changedWaves, w.Number)
	}
}

// maxWait returns how long a machine may wait for its tasks to end so that the rest of the
// wave still finishes in time.
func (p *Planner) maxWait(now time.Duration, w *wave) time.Duration {
	rounds := (len(w.Machines) - len(w.begun) + w.MaxDown - 1) / w.MaxDown
	if rounds == 0 {
		return 0
	}
	remaining := w.startedAt + w.Within - now
	return max(0, min(maxDrainWait, remaining/time.Duration(rounds)-p.duration-time.Second))
}

// RecordOutcome records the outcome of an order.
func (p *Planner) RecordOutcome(now time.Duration, o Order, outcome Outcome) {
	w := p.waves[o.Wave]
	if w == nil {
		return
	}
	switch outcome {
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
		// The machine may be down, and counts as down until its state is known; dueOrders
		// sends the order again.
		w.downSince[o.Machine] = now
	}
}

func (p *Planner) recordBegun(w *wave, machine string) {
	if !w.begun[machine] {
		w.begun[machine] = true
		p.changedWaves = append(p.changedWaves, w.Number)
	}
}

// Changes returns the progress of the waves that changed since the last call.
func (p *Planner) Changes() []Progress {
	slices.Sort(p.changedWaves)
	var changes []Progress
	for _, number := range slices.Compact(p.changedWaves) {
		w := p.waves[number]
		changes = append(changes, Progress{Wave: number, Done: w.done, Begun: slices.Sorted(maps.Keys(w.begun)), Blocked: slices.Sorted(maps.Keys(w.blocked))})
	}
	p.changedWaves = nil
	return changes
}
