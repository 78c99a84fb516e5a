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

// model is what a book of progress and one of final states should have.
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

// history plays random changes of jobs against records and their model, with owners that
// are lost between any two rows.
type history struct {
	c      *qt.C
	random *rand.Rand
	store  table
	now    model
	// recorded is the model as of the last transaction.
	recorded model
	records  *scheduler.Records
}

func newHistory(c *qt.C, seed uint64) *history {
	return &history{
		c: c, random: rand.New(rand.NewPCG(seed, 1)), store: table{}, now: newModel(), recorded: newModel(), records: scheduler.NewRecords("p"),
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

// change changes one job, or none.
func (h *history) change() {
	id := h.id()
	switch h.random.IntN(8) {
	case 0:
		h.records.Abandon(id)
		delete(h.now.progress, id)
	case 1:
		h.records.Forget(id)
		delete(h.now.finished, id)
	default:
		p := h.progress()
		h.records.Add(7, cell.Change{Job: workload.Job{ID: id}, Progress: p})
		h.now.add(id, p)
	}
}

// record makes a transaction. One in eight owners is lost before all of it has taken effect.
func (h *history) record() {
	changes, err := h.records.Take()
	h.c.Assert(err, qt.IsNil)
	before := h.recorded
	h.recorded = h.now.clone()
	if h.random.IntN(8) > 0 {
		h.store.write(changes)
		return
	}
	h.store.write(changes[:h.random.IntN(len(changes)+1)])
	h.records = h.store.read(h.c)
	h.now = h.eitherOf(before, h.recorded)
	h.recorded = h.now.clone()
}

// eitherOf checks that what a new owner reads of each job is as in one of two models, and
// returns it.
func (h *history) eitherOf(before, after model) model {
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

// check checks that a new owner would read what is in the model.
func (h *history) check() {
	next := h.store.read(h.c)
	for i := range 40 {
		id := fmt.Sprintf("%016x", i)
		h.c.Assert(next.Finished(id), qt.Equals, h.recorded.finished[id], qt.Commentf("job %s", id))
		p, ok := next.Progress(id)
		want, wanted := h.recorded.progress[id]
		h.c.Assert(ok, qt.Equals, wanted, qt.Commentf("job %s", id))
		h.c.Assert(reflect.DeepEqual(p, want), qt.IsTrue, qt.Commentf("job %s: %+v, recorded %+v", id, p, want))
	}
}
