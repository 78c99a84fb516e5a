package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"strings"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// model is the expected content of the tables of progress and of final states.
type model struct {
	progress map[string]cell.Progress
	finished map[string]bool
}

func newModel() model {
	return model{progress: map[string]cell.Progress{}, finished: map[string]bool{}}
}

func (m model) clone() model {
	return model{progress: maps.Clone(m.progress), finished: maps.Clone(m.finished)}
}

func (m model) add(id string, p cell.Progress) {
	m.progress[id] = p
	if p.State.Final() {
		m.finished[id] = true
	}
	if p.Closed() {
		delete(m.progress, id)
	}
}

// history applies random job changes to records and to a model of them. Owners fail
// between any two rows of a transaction.
type history struct {
	c      *qt.C
	random *rand.Rand
	store  storedRows
	now    model
	// recorded is the model as of the last transaction.
	recorded model
	records  *scheduler.Records
}

func newHistory(c *qt.C, seed uint64) *history {
	return &history{
		c: c, random: rand.New(rand.NewPCG(seed, 1)), store: storedRows{}, now: newModel(), recorded: newModel(), records: scheduler.NewRecords("p"),
	}
}

func (h *history) id() string { return fmt.Sprintf("%016x", h.random.IntN(40)) }

func (h *history) progress() cell.Progress {
	p := cell.Progress{State: workload.Running}
	if h.random.IntN(3) == 0 {
		p.State = workload.Done
	}
	for step := range h.random.IntN(3) {
		s := cell.StepProgress{Step: step, Tasks: []cell.TaskProgress{}}
		for range h.random.IntN(20) {
			s.Tasks = append(s.Tasks, h.task())
		}
		p.Steps = append(p.Steps, s)
	}
	return p
}

func (h *history) task() cell.TaskProgress {
	t := cell.TaskProgress{Run: h.random.IntN(300), Failures: h.random.IntN(3)}
	switch h.random.IntN(3) {
	case 0:
		t.Done = true
	case 1:
		t.Checkpoint = strings.Repeat("c", h.random.IntN(40))
		t.Runs = []cell.RunProgress{{Run: t.Run, Worker: fmt.Sprint("w", h.random.IntN(400)), Life: h.random.Int64()}}
	}
	return t
}

// change changes or removes one job.
func (h *history) change() {
	id := h.id()
	switch h.random.IntN(8) {
	case 0:
		h.records.Abandon(id)
		delete(h.now.progress, id)
	case 1:
		h.records.RemoveFinished(id)
		delete(h.now.finished, id)
	default:
		p := h.progress()
		h.records.Add(7, cell.Change{Job: workload.Job{ID: id}, Progress: p})
		h.now.add(id, p)
	}
}

// record makes a transaction. One in eight owners fails before all rows are written.
func (h *history) record() {
	changes, err := h.records.DrainChanges()
	h.c.Assert(err, qt.IsNil)
	before := h.recorded
	h.recorded = h.now.clone()
	if h.random.IntN(8) > 0 {
		h.store.write(changes)
		return
	}
	h.store.write(changes[:h.random.IntN(len(changes)+1)])
	h.records = h.store.loadRecords(h.c)
	h.now = h.loadEither(before, h.recorded)
	h.recorded = h.now.clone()
}

// loadEither checks that a new owner loads the state of each job from one of two models,
// and returns the loaded state.
func (h *history) loadEither(before, after model) model {
	m := newModel()
	for i := range 40 {
		id := fmt.Sprintf("%016x", i)
		m.finished[id] = h.records.Finished(id)
		h.c.Assert(m.finished[id] == before.finished[id] || m.finished[id] == after.finished[id], qt.IsTrue)
		if !m.finished[id] {
			delete(m.finished, id)
		}
		p, ok := h.records.Progress(id)
		if ok {
			m.progress[id] = p
		}
		h.c.Assert(sameProgress(m, before, id) || sameProgress(m, after, id), qt.IsTrue, qt.Commentf("job %s", id))
	}
	return m
}

func sameProgress(m, n model, id string) bool {
	p, inM := m.progress[id]
	q, inN := n.progress[id]
	return inM == inN && reflect.DeepEqual(p, q)
}

// check checks that a new owner would load the recorded model.
func (h *history) check() {
	next := h.store.loadRecords(h.c)
	for i := range 40 {
		id := fmt.Sprintf("%016x", i)
		h.c.Assert(next.Finished(id), qt.Equals, h.recorded.finished[id], qt.Commentf("job %s", id))
		p, ok := next.Progress(id)
		want, wanted := h.recorded.progress[id]
		h.c.Assert(ok, qt.Equals, wanted, qt.Commentf("job %s", id))
		h.c.Assert(reflect.DeepEqual(p, want), qt.IsTrue, qt.Commentf("job %s: %+v, recorded %+v", id, p, want))
	}
}
