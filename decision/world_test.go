package decision_test

import (
	"fmt"
	"os"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// message is something under way between the core and a rack: one field is set.
type message struct {
	command *decision.Command
	report  *decision.Report
	digest  *rack.Digest
}

// doubt is a record whose outcome is not known yet.
type doubt struct{ record decision.Record }

// world drives a core with faulty racks, a faulty network and a faulty journal.
type world struct {
	t     *rapid.T
	now   time.Time
	core  *decision.Core
	racks []*fakeRack
	// faulty lets workers refuse starts and racks lose held room.
	faulty   bool
	messages []message
	records  []decision.Record
	doubts   []doubt
	durable  []record.Entry
	caller   uint64
	calls    map[uint64]task.Key
	replies  map[uint64]task.Answer
	// orphans are the callers whose owner died.
	orphans map[uint64]bool
	works   map[task.Key]task.Work
	starts  map[task.AttemptID]int
	// notRun holds work that was said not to run, since it was last submitted.
	notRun map[task.Key]bool
	died   bool
	// heard counts the summaries of other members.
	heard uint64
	// trace logs every event and action.
	trace bool
}

func newWorld(t *rapid.T, faulty bool) *world {
	w := &world{t: t, now: epoch, faulty: faulty, calls: map[uint64]task.Key{}, replies: map[uint64]task.Answer{},
		orphans: map[uint64]bool{}, works: map[task.Key]task.Work{}, starts: map[task.AttemptID]int{}, notRun: map[task.Key]bool{}}
	capacity := task.Size{Processors: 4000, Memory: 4 * task.Gibibyte, Slots: 4, Connections: 4}
	for i := range 3 {
		w.racks = append(w.racks, newFakeRack(fmt.Sprintf("r%d", i), fmt.Sprintf("z%d", i%2), 2, capacity))
	}
	w.trace = os.Getenv("TRACE") != ""
	w.newCore()
	return w
}

func (w *world) newCore() {
	w.core = decision.New(decision.Options{Region: "centro", Retention: 1000 * time.Hour, ShortRetention: 1000 * time.Hour})
	for _, r := range w.racks {
		w.apply(decision.DigestChanged{Digest: r.rack.Digest()})
	}
	w.apply(decision.PartitionRecovered{Partition: "p", Entries: w.durable})
}

func (w *world) apply(e decision.Event) {
	if w.trace {
		w.t.Logf("EVENT %T %+v", e, e)
	}
	for _, a := range w.core.Apply(w.now, e) {
		if w.trace {
			w.t.Logf("   ACTION %T %+v", a, a)
		}
		switch a := a.(type) {
		case decision.Record:
			w.records = append(w.records, a)
		case decision.Command:
			if a.Verb == decision.Confirm && !w.faulty && !w.died {
				w.checkAllHeld(w.works[a.Attempt.Work], a.Attempt)
			}
			w.messages = append(w.messages, message{command: &a})
		case decision.Reply:
			w.reply(a)
		}
	}
}

func (w *world) reply(r decision.Reply) {
	key, ok := w.calls[r.Caller]
	if !ok {
		w.t.Fatalf("reply to caller %d, who asked nothing", r.Caller)
	}
	if old, ok := w.replies[r.Caller]; ok {
		w.t.Fatalf("caller %d has two replies: %+v and %+v", r.Caller, old, r.Answer)
	}
	if r.Answer.Key() != key {
		w.t.Fatalf("caller %d asked for %v and got %v", r.Caller, key, r.Answer.Key())
	}
	w.replies[r.Caller] = r.Answer
	work := w.works[key]
	switch r.Answer.State {
	case task.NotRun:
		for id := range w.starts {
			if id.Work == key {
				w.t.Fatalf("%v was said not to run, but %v started (%+v)", key, id, r.Answer)
			}
		}
		w.notRun[key] = true
	case task.Ran:
		for i := range work.Tasks {
			if i >= len(r.Answer.Bodies) || string(r.Answer.Bodies[i]) != key.String() {
				w.t.Fatalf("answer of %v is not whole: %+v", key, r.Answer)
			}
		}
	}
}

// started checks every start.
func (w *world) started(r *fakeRack, id task.AttemptID) {
	work := w.works[id.Work]
	w.starts[id]++
	if w.notRun[id.Work] {
		w.t.Fatalf("%v started after its caller was told that it did not run", id)
	}
	if w.starts[id] > 1 && work.NeedsDurableRecord() {
		w.t.Fatalf("%v started twice", id)
	}
	for other := range w.starts {
		if other.Work != id.Work || other.Task != id.Task || other == id {
			continue
		}
		if !work.Idempotent && work.Kind != task.Service {
			w.t.Fatalf("%v started after %v, and is not idempotent", id, other)
		}
		if work.NeedsDurableRecord() && w.lives(other) {
			w.t.Fatalf("%v started while %v runs", id, other)
		}
	}
}

func (w *world) lives(id task.AttemptID) bool {
	for _, r := range w.racks {
		if a, ok := r.attempts[id]; ok && a.status == decision.Placed {
			return true
		}
	}
	return false
}

// checkAllHeld checks that every task of an all-at-once job has room when the
// core starts any of them. A command of an owner that died may still arrive, so
// that this is checked up to the first death.
func (w *world) checkAllHeld(work task.Work, started task.AttemptID) {
	has := map[int]bool{}
	for _, r := range w.racks {
		for id := range r.attempts {
			if id.Work == work.Key() {
				has[id.Task] = true
			}
		}
	}
	for id := range w.starts {
		if id.Work == work.Key() {
			has[id.Task] = true
		}
	}
	if len(has) < work.Tasks {
		w.t.Fatalf("%v is started with only %d of %d tasks held", started, len(has), work.Tasks)
	}
}

// check looks at what must hold at all times.
func (w *world) check() {
	for _, r := range w.racks {
		for _, f := range r.rack.Digest().Workers {
			if f.Free.HasNegative() {
				w.t.Fatalf("worker %s is overcommitted: %v", f.ID, f.Free)
			}
		}
	}
}

func (w *world) call(key task.Key) uint64 {
	w.caller++
	w.calls[w.caller] = key
	return w.caller
}

// deliver takes one message to its end.
func (w *world) deliver(m message, obeys bool) {
	switch {
	case m.command != nil:
		for _, r := range w.racks {
			if r.name != m.command.Rack {
				continue
			}
			for _, rep := range r.command(*m.command, obeys, w.started) {
				w.messages = append(w.messages, message{report: &rep})
			}
			w.tell(r)
		}
	case m.report != nil:
		w.apply(*m.report)
	case m.digest != nil:
		w.apply(decision.DigestChanged{Digest: *m.digest})
	}
}

func (w *world) tell(r *fakeRack) {
	if r.told == r.rack.Sequence() {
		return
	}
	r.told = r.rack.Sequence()
	d := r.rack.Digest()
	w.messages = append(w.messages, message{digest: &d})
}

// end ends a running attempt.
func (w *world) end(r *fakeRack, id task.AttemptID, outcome task.Outcome) {
	r.end(id, outcome)
	rep := r.report(id, r.attempts[id])
	w.messages = append(w.messages, message{report: &rep})
	w.tell(r)
}

// die replaces the owner by one that knows only the journal.
func (w *world) die(kept int) {
	for _, r := range w.records[:kept] {
		w.durable = append(w.durable, r.Entry)
	}
	w.records, w.doubts, w.died = nil, nil, true
	for c := range w.calls {
		if _, ok := w.replies[c]; !ok {
			w.orphans[c] = true
		}
	}
	w.newCore()
}
