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
}

type taskHistory struct {
	// active holds the workers on which a run is at work, by run.
	active map[int]*worker
	starts int
	// failed and done count the ends that were taken note of.
	failed, done int
	lastEnd      time.Time
	startedAt    []time.Time
	endedAt      []time.Time
}

func newJudge(log *record) *judge { return &judge{log: log, tasks: map[string]*taskHistory{}} }

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
	t.active[run] = w
	t.starts++
	t.startedAt = append(t.startedAt, time.Now())
}

func (j *judge) ended(_ *worker, e ending) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(e.task)
	delete(t.active, e.run)
	t.lastEnd = e.at
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
