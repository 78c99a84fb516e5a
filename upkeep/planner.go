package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// patience is how long a machine waits for its tasks to end, if the wave has
	// the time.
	patience = 8 * time.Second
	// busyRest is the pause after an order to a machine that was busy.
	busyRest = time.Second
	// orderRetry is the pause after which an order without an answer is given
	// again; one that was carried out has no further effect.
	orderRetry = 2 * time.Second
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
	// listed is when the list of machines was asked for.
	listed time.Duration
	// changed holds the waves whose progress is to be recorded.
	changed []int64
}

// wave is a wave under way.
type wave struct {
	Wave
	begun map[string]bool
	// down holds the machines that may be down, and since when.
	down map[string]time.Duration
	// chosen holds the machines that wait for their tasks to end, and since when.
	chosen map[string]time.Duration
	// rests holds machines that were busy, until when they rest.
	rests map[string]time.Duration
	since time.Duration
	done  bool
}

// New returns a planner of upkeeps that take a time.
func New(duration time.Duration) *Planner {
	return &Planner{duration: duration, waves: map[int64]*wave{}, machines: map[string]Machine{}}
}

// SetWave takes a wave that began at a time, and reports whether it is new; one that is
// known is not changed.
func (p *Planner) SetWave(since time.Duration, w Wave) bool {
	if p.waves[w.Number] != nil {
		return false
	}
	w.MaxDown = max(1, w.MaxDown)
	p.waves[w.Number] = &wave{
		Wave: w, since: since, begun: map[string]bool{}, down: map[string]time.Duration{},
		chosen: map[string]time.Duration{}, rests: map[string]time.Duration{},
	}
	p.changed = append(p.changed, w.Number)
	return true
}

// Since returns when a wave began.
func (p *Planner) Since(number int64) time.Duration {
	if w := p.waves[number]; w != nil {
		return w.since
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
			w.down[id] = now
		}
	}
}

// SetMachines takes the list of machines that was asked for at a time.
func (p *Planner) SetMachines(asked time.Duration, list []Machine) {
	p.listed = asked
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

// Step returns the orders that are due, and the workers that must get nothing new
// because their machines are next.
func (p *Planner) Step(now time.Duration, workers Workers) (orders []Order, reserved []string) {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if w.done {
			continue
		}
		p.settle(w)
		p.choose(now, w, workers)
		orders = append(orders, p.due(now, w, workers)...)
		for id := range w.chosen {
			reserved = append(reserved, p.machines[id].Worker)
		}
		if len(w.begun) == len(w.Machines) && len(w.down) == 0 {
			w.done = true
			p.changed = append(p.changed, number)
		}
	}
	slices.Sort(reserved)
	return orders, reserved
}

// settle takes machines off that are back: the list was asked for after their upkeep
// was over and has them up, or lacks them.
func (p *Planner) settle(w *wave) {
	for id, since := range w.down {
		m, known := p.machines[id]
		if p.listed > since+p.duration && (!known || m.State == Up) && w.begun[id] {
			delete(w.down, id)
		}
	}
}

// away counts the machines of a wave that may be down, also those that are down for
// another reason.
func (p *Planner) away(w *wave) int {
	n := len(w.down)
	for _, id := range w.Machines {
		if _, counted := w.down[id]; !counted && p.machines[id].State == Down {
			n++
		}
	}
	return n
}

// choose picks the machines that go next: as many as may be down, the emptiest first.
func (p *Planner) choose(now time.Duration, w *wave, workers Workers) {
	for id := range w.chosen {
		if m, ok := p.machines[id]; ok && m.State != Up {
			delete(w.chosen, id)
		}
	}
	var candidates []string
	for _, id := range w.Machines {
		_, isChosen := w.chosen[id]
		_, isDown := w.down[id]
		if m, ok := p.machines[id]; !w.begun[id] && !isChosen && !isDown && now >= w.rests[id] && ok && m.State == Up {
			candidates = append(candidates, id)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(workers.Runs(p.machines[a].Worker), workers.Runs(p.machines[b].Worker)), cmp.Compare(a, b))
	})
	for _, id := range candidates {
		if len(w.chosen)+p.away(w) >= w.MaxDown {
			return
		}
		w.chosen[id] = now
	}
}

// due returns the orders to chosen machines that are empty, or whose time has come.
func (p *Planner) due(now time.Duration, w *wave, workers Workers) []Order {
	var orders []Order
	for _, id := range w.Machines {
		if since, ok := w.down[id]; ok && !w.begun[id] && now-since >= orderRetry {
			w.down[id] = now
			orders = append(orders, Order{Wave: w.Number, Machine: id})
		}
	}
	for _, id := range w.Machines {
		since, ok := w.chosen[id]
		if !ok || p.away(w) >= w.MaxDown {
			continue
		}
		worker := p.machines[id].Worker
		if workers.Runs(worker) > 0 && (now-since < p.wait(now, w) || !workers.MayEnd(worker)) {
			continue
		}
		delete(w.chosen, id)
		w.down[id] = now
		orders = append(orders, Order{Wave: w.Number, Machine: id})
	}
	return orders
}

// wait returns how long a machine may wait for its tasks, so that the rest of the wave
// is in time.
func (p *Planner) wait(now time.Duration, w *wave) time.Duration {
	turns := (len(w.Machines) - len(w.begun) + w.MaxDown - 1) / w.MaxDown
	if turns == 0 {
		return 0
	}
	left := w.since + w.Within - now
	return max(0, min(patience, left/time.Duration(turns)-p.duration-time.Second))
}

// Answered tells what became of an order.
func (p *Planner) Answered(now time.Duration, o Order, a Answer) {
	w := p.waves[o.Wave]
	if w == nil {
		return
	}
	switch a {
	case Begun:
		w.down[o.Machine] = now
		p.begin(w, o.Machine)
	case Absent:
		delete(w.down, o.Machine)
		p.begin(w, o.Machine)
	case Busy:
		delete(w.down, o.Machine)
		w.rests[o.Machine] = now + busyRest
	case Unknown:
		// It may be down, and counts so until it is known; due orders it again.
		w.down[o.Machine] = now
	}
}

func (p *Planner) begin(w *wave, machine string) {
	if !w.begun[machine] {
		w.begun[machine] = true
		p.changed = append(p.changed, w.Number)
	}
}

// Changes returns the progress of the waves that have changed since the last call.
func (p *Planner) Changes() []Progress {
	slices.Sort(p.changed)
	var changes []Progress
	for _, number := range slices.Compact(p.changed) {
		w := p.waves[number]
		changes = append(changes, Progress{Wave: number, Done: w.done, Begun: slices.Sorted(maps.Keys(w.begun))})
	}
	p.changed = nil
	return changes
}
