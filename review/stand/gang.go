package main

import (
	"errors"
	"strings"
	"sync"
	"time"
)

// gangTimeout is gang_timeout_ms.
const gangTimeout = 3 * time.Second

// gangs knows which members of each run of a gang are present. The members end together.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[string]*worker
}

// key names one run of a gang.
func gangKey(task string, run int64) string {
	return task[:strings.LastIndex(task, ".")] + "/" + time.Duration(run).String()
}

// join adds a member. Once all are present they work, and end as done together. A member that
// has waited for gangTimeout ends alone.
func (g *gangs) join(w *worker, task string, r *run) {
	key := gangKey(task, r.number)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil {
		g.members = map[string]map[string]*worker{}
	}
	if g.members[key] == nil {
		g.members[key] = map[string]*worker{}
	}
	g.members[key][task] = w
	if len(g.members[key]) == r.spec.Gang {
		time.AfterFunc(r.length, func() { g.endAll(key, r.number) })
		return
	}
	time.AfterFunc(gangTimeout, func() {
		g.mu.Lock()
		complete := len(g.members[key]) == r.spec.Gang
		g.mu.Unlock()
		if !complete {
			w.endIf(task, r, "alone")
		}
	})
}

// leave removes a member that has ended.
func (g *gangs) leave(task string, number int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members[gangKey(task, number)], task)
}

func (g *gangs) endAll(key string, number int64) {
	g.mu.Lock()
	members := map[string]*worker{}
	for task, w := range g.members[key] {
		members[task] = w
	}
	g.mu.Unlock()
	for task, w := range members {
		w.mu.Lock()
		r := w.runs[task]
		w.mu.Unlock()
		if r != nil && r.number == number {
			w.endIf(task, r, "done")
		}
	}
}

// endIf ends a run unless it has ended or is being stopped.
func (w *worker) endIf(task string, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != r || r.stopping {
		return
	}
	if how == "alone" {
		w.record.fault("GANG: %s run %d on %s ended alone", task, r.number, w.id)
	}
	w.end(task, how)
}

const (
	// zoneDelay and regionDelay are the delays one way of tdg-quay.
	zoneDelay   = 900 * time.Microsecond
	regionDelay = 20 * time.Millisecond
)

// runGang hands in a job of 250 tasks that start together. With trouble half of the workers
// stand in the other region, without it all in another zone of the region of the hosts.
func runGang(t *trial) error {
	if err := t.open(3, 8, 64000, catalogue("gangs")); err != nil {
		return err
	}
	for _, links := range t.cell.workerLinks {
		for i, l := range links {
			l.SetDelay(zoneDelay)
			if t.trouble && i < 4 {
				l.SetDelay(regionDelay)
			}
		}
	}
	j := job{id: newID(), spec: spec{MS: 2000, Gang: 250}, steps: []map[string]any{{"tasks": 250, "cpu": 250, "mem_mb": 64, "estimate": 2000, "gang": true}}}
	if !t.cell.submit("gangs", j.id, j.document()) {
		return errors.New("the job was not accepted")
	}
	t.record.line("end of traffic")
	time.Sleep(finish)
	_, done, _ := t.record.ofJob(j.id)
	t.record.line("%d tasks done", done)
	if done < j.spec.Gang {
		t.checkRuns("gangs", j.id, 20*time.Second)
	}
	t.cell.state("gangs", j.id)
	return nil
}
