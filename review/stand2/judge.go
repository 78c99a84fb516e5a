package main

import (
	"fmt"
	"sync"
	"time"
)

// judge checks the rules on what workers have seen.
type judge struct {
	log *record

	mu     sync.Mutex
	tasks  map[string]*taskHistory
	breaks []string
	// budgets holds the steps that may miss some tasks, by job.
	budgets map[string]budget
	// check returns what a start breaks, or "". It may be nil; j.mu is held.
	check func(task string, run int) string
}

type taskHistory struct {
	// active holds the workers on which a run is at work, by run.
	active map[int]*worker
	starts int
	// failed and done count the ends that were taken note of.
	failed, done int
	lastEnd      time.Time
	// doneAt is when a run ended as done.
	doneAt    time.Time
	startedAt []time.Time
	// byOrder reports whether an order has ended the last run.
	byOrder bool
	endedAt []time.Time
}

func newJudge(log *record) *judge {
	return &judge{log: log, tasks: map[string]*taskHistory{}, budgets: map[string]budget{}}
}

func (j *judge) task(name string) *taskHistory {
	t := j.tasks[name]
	if t == nil {
		t = &taskHistory{active: map[int]*worker{}}
		j.tasks[name] = t
	}
	return t
}

// breakRule notes a broken rule. The caller holds j.mu.
func (j *judge) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.breaks = append(j.breaks, text)
	j.log.add("BROKEN %s", text)
}

// started notes a start; the worker is locked.
func (j *judge) started(w *worker, name string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(name)
	for other, on := range t.active {
		j.breakRule("TWICE: %s run %d on %s while run %d is on %s", name, run, w.id, other, on.id)
	}
	if t.done > 0 {
		j.breakRule("TWICE: %s run %d starts after an end as done was taken note of", name, run)
	}
	used := int64(0)
	for _, r := range w.runs {
		used += r.spec.CPU
	}
	if used > w.capacity {
		j.breakRule("LIMIT: %s has %d of %d thousandths in use", w.id, used, w.capacity)
	}
	if j.check != nil {
		if text := j.check(name, run); text != "" {
			j.breakRule("%s", text)
		}
	}
	t.active[run] = w
	t.starts++
	t.byOrder = false
	t.startedAt = append(t.startedAt, time.Now())
}

func (j *judge) ended(_ *worker, e ending) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(e.task)
	delete(t.active, e.run)
	t.lastEnd = e.at
	if e.how == "done" {
		t.doneAt = e.at
	}
	t.endedAt = append(t.endedAt, e.at)
}

func (j *judge) noted(_ *worker, e ending) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(e.task)
	switch e.how {
	case "done":
		t.done++
	case "failed":
		t.failed++
	}
	j.log.add("end of %s run %d taken note of: %s", e.task, e.run, e.how)
}

// upkeep checks the start of an upkeep; the cloud is locked.
func (j *judge) upkeep(c *cloud, name string, m *machine) {
	n := 0
	for _, other := range c.machines {
		if other.down && other.wave == m.wave {
			n++
		}
	}
	j.log.add("cloud: %s goes down for wave %d, %d are down for it", name, m.wave, n)
	if o, ok := c.waves[m.wave]; ok && n > o.atOnce {
		j.note("LIMIT: %s goes down for wave %d as number %d", name, m.wave, n)
	}
	j.checkBudgets(m.worker)
}

// budget is a step of tasks that last, of which some may be away.
type budget struct{ tasks, mayMiss int }

// checkBudgets checks the tasks that an upkeep of a worker ends.
func (j *judge) checkBudgets(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for id, b := range j.budgets {
		away := 0
		var here []string
		for i := range b.tasks {
			name := fmt.Sprintf("%s.0.0.%d", id, i)
			t := j.task(name)
			at := time.Time{}
			for run, on := range t.active {
				if on == w && w.runs[name] != nil && w.runs[name].run == run && w.runs[name].percent() == 100 {
					here = append(here, name)
				}
				if len(t.startedAt) > 0 {
					at = t.startedAt[len(t.startedAt)-1].Add(startupTime)
				}
			}
			switch {
			case !at.IsZero() && now.After(at):
			case t.byOrder || now.Sub(t.lastEnd) > 6500*time.Millisecond:
				away++
			}
		}
		for _, name := range here {
			if away >= b.mayMiss {
				j.breakRule("AVAIL: an upkeep of %s ends %s while %d others of %d are away", w.id, name, away, b.mayMiss)
			}
			j.task(name).byOrder = true
			away++
		}
	}
}

func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breakRule(format, args...)
}

func (j *judge) history(name string) taskHistory {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := *j.task(name)
	t.startedAt = append([]time.Time(nil), t.startedAt...)
	t.endedAt = append([]time.Time(nil), t.endedAt...)
	return t
}

func (j *judge) broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.breaks...)
}
