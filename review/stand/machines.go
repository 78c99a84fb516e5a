package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maintenance = 2 * time.Second

// machines is a stand-in for the service of machines: each has one worker.
type machines struct {
	cell *cell

	mu      sync.Mutex
	down    map[int]bool
	had     map[string]bool
	fences  map[string]int64
	holders map[string]string
	// ended holds the tasks that last and were ended by an upkeep, and not at work since.
	ended map[string]bool
	// mayMiss is the budget of the step whose tasks last.
	mayMiss int
	lives   int
}

func newMachines(c *cell) *machines {
	return &machines{cell: c, down: map[int]bool{}, had: map[string]bool{}, fences: map[string]int64{}, holders: map[string]string{}, ended: map[string]bool{}, mayMiss: -1}
}

func (m *machines) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["machines"], m.list)
	mux.HandleFunc("POST "+names["upkeep"], m.upkeep)
	return mux
}

func (m *machines) list(rw http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for i, w := range m.cell.workers {
		state := "up"
		if m.down[i] {
			state = "upkeep"
		}
		w.mu.Lock()
		rows = append(rows, map[string]any{
			"machine": w.machine, "pool": "s", "state": state, "zone": "z", "labels": []string{w.kind, "r1"},
			"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 64000, "gpu": 0}, "id": w.id,
		})
		w.mu.Unlock()
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (m *machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	b, ok := readBody(r)
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	if !ok || err != nil || holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	id := b.text("machine")
	wave := fmt.Sprint(b["wave"])
	m.mu.Lock()
	m.cell.record.line("upkeep of %s for wave %s ordered by %s with fence %d", id, wave, holder, fence)
	if fence < m.fences[id] {
		m.cell.record.fault("ONE: order for %s with fence %d of %s after one with fence %d of %s", id, fence, holder, m.fences[id], m.holders[id])
	}
	if fence == m.fences[id] && holder != m.holders[id] {
		m.cell.record.fault("ONE: orders for %s with fence %d of %s and %s", id, fence, holder, m.holders[id])
	}
	m.fences[id], m.holders[id] = max(fence, m.fences[id]), holder
	status, answer := m.carryOut(id, wave)
	m.mu.Unlock()
	writeJSON(rw, status, answer)
}

// carryOut carries an order out. The caller holds m.mu.
func (m *machines) carryOut(id, wave string) (int, map[string]any) {
	index := -1
	for i, w := range m.cell.workers {
		if w.machine == id {
			index = i
		}
	}
	switch {
	case index < 0:
		return http.StatusBadRequest, map[string]any{}
	case m.had[id+"/"+wave]:
		return http.StatusOK, map[string]any{}
	case m.down[index]:
		return http.StatusConflict, map[string]any{"reason": "busy"}
	}
	m.checkBudget(index)
	m.had[id+"/"+wave], m.down[index] = true, true
	w := m.cell.workers[index]
	w.crash("upkeep")
	m.cell.rows.Remove("servers", w.id)
	time.AfterFunc(maintenance, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lives++
		w.mu.Lock()
		w.id = fmt.Sprintf("i-%08x", 0x7f3b0000+m.lives)
		kind := w.kind
		w.mu.Unlock()
		w.boot(kind)
		m.cell.announce(index)
		m.down[index] = false
	})
	return http.StatusOK, map[string]any{}
}

// checkBudget checks AVAIL before the upkeep of a machine. The caller holds m.mu.
func (m *machines) checkBudget(index int) {
	if m.mayMiss < 0 {
		return
	}
	for _, w := range m.cell.workers {
		for _, task := range w.atWork() {
			delete(m.ended, task)
		}
	}
	for _, task := range m.cell.workers[index].atWork() {
		if len(m.ended) >= m.mayMiss {
			m.cell.record.fault("AVAIL: the upkeep of %s ends %s while %d other tasks of its step, ended by an upkeep, are away (may_miss %d)", m.cell.workers[index].machine, task, len(m.ended), m.mayMiss)
		}
		m.ended[task] = true
	}
}
