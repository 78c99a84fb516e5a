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

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// message is a message in flight between the core and a rack; one field is set.
type message struct {
	command *decision.Command
	report  *decision.Report
	digest  *rack.Digest
}

// recordInDoubt is a record whose result is not known yet.
type recordInDoubt struct{ record decision.Record }

// simulation drives a core with faulty racks, a faulty network and a faulty
// journal.
type simulation struct {
	t     *rapid.T
	now   time.Time
	core  *decision.Core
	racks []*fakeRack
	// faulty lets workers refuse starts and racks lose held capacity.
	faulty         bool
	messages       []message
	pendingRecords []decision.Record
	inDoubt        []recordInDoubt
	durable        []record.Entry
	lastCaller     uint64
	calls          map[uint64]task.Key
	replies        map[uint64]task.Answer
	// orphanedCallers are the unanswered callers of a failed owner.
	orphanedCallers map[uint64]bool
	submitted       map[task.Key]task.Work
	starts          map[task.AttemptID]int
	// notRun holds work that was answered with NotRun since it was last
	// submitted.
	notRun      map[task.Key]bool
	ownerFailed bool
	// lastSequence is the sequence of the last summary of another member.
	lastSequence uint64
	// trace logs every event and action.
	trace bool
}

func newSimulation(t *rapid.T, faulty bool) *simulation {
	w := &simulation{t: t, now: startTime, faulty: faulty, calls: map[uint64]task.Key{}, replies: map[uint64]task.Answer{},
		orphanedCallers: map[uint64]bool{}, submitted: map[task.Key]task.Work{}, starts: map[task.AttemptID]int{}, notRun: map[task.Key]bool{}}
	capacity := task.Size{Processors: 4000, Memory: 4 * task.Gibibyte, Slots: 4, Connections: 4}
	for i := range 3 {
		w.racks = append(w.racks, newFakeRack(fmt.Sprintf("r%d", i), fmt.Sprintf("z%d", i%2), 2, capacity))
	}
	w.trace = os.Getenv("TRACE") != ""
	w.newCore()
	return w
}

func (w *simulation) newCore() {
	w.core = decision.New(decision.Options{Region: "centro", Retention: 1000 * time.Hour, ShortRetention: 1000 * time.Hour})
	for _, r := range w.racks {
		w.apply(decision.DigestChanged{Digest: r.rack.Digest()})
	}
	w.apply(decision.PartitionRecovered{Partition: "p", Entries: w.durable})
}

func (w *simulation) apply(e decision.Event) {
	if w.trace {
		w.t.Logf("EVENT %T %+v", e, e)
	}
	for _, a := range w.core.Apply(w.now, e) {
		if w.trace {
			w.t.Logf("   ACTION %T %+v", a, a)
		}
		switch a := a.(type) {
		case decision.Record:
			w.pendingRecords = append(w.pendingRecords, a)
		case decision.Command:
			if a.Verb == decision.Confirm && !w.faulty && !w.ownerFailed {
				w.checkAllHeld(w.submitted[a.Attempt.Work], a.Attempt)
			}
			w.messages = append(w.messages, message{command: &a})
		case decision.Reply:
			w.reply(a)
		}
	}
}

func (w *simulation) reply(r decision.Reply) {
	key, ok := w.calls[r.Caller]
	if !ok {
		w.t.Fatalf("reply to unknown caller %d", r.Caller)
	}
	if old, ok := w.replies[r.Caller]; ok {
		w.t.Fatalf("caller %d has two replies: %+v and %+v", r.Caller, old, r.Answer)
	}
	if r.Answer.Key() != key {
		w.t.Fatalf("caller %d asked for %v and got %v", r.Caller, key, r.Answer.Key())
	}
	w.replies[r.Caller] = r.Answer
	work := w.submitted[key]
	switch r.Answer.State {
	case task.NotRun:
		for id := range w.starts {
			if id.Work == key {
				w.t.Fatalf("%v was answered with NotRun, but %v started (%+v)", key, id, r.Answer)
			}
		}
		w.notRun[key] = true
	case task.Ran:
		for i := range work.Tasks {
			if i >= len(r.Answer.Bodies) || string(r.Answer.Bodies[i]) != key.String() {
				w.t.Fatalf("answer of %v lacks the body of a task: %+v", key, r.Answer)
			}
		}
	}
}

// onStart checks the guarantees at the start of an attempt.
func (w *simulation) onStart(r *fakeRack, id task.AttemptID) {
	work := w.submitted[id.Work]
	w.starts[id]++
	if w.notRun[id.Work] {
		w.t.Fatalf("%v started after its caller was answered with NotRun", id)
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
		if work.NeedsDurableRecord() && w.isRunning(other) {
			w.t.Fatalf("%v started while %v runs", id, other)
		}
	}
}

func (w *simulation) isRunning(id task.AttemptID) bool {
	for _, r := range w.racks {
		if a, ok := r.attempts[id]; ok && a.status == decision.Placed {
			return true
		}
	}
	return false
}

// checkAllHeld checks that every task of a gang has capacity when the core
// starts any of them. Commands of a failed owner may still arrive, so this is
// checked only until the first failure of an owner.
func (w *simulation) checkAllHeld(work task.Work, started task.AttemptID) {
	covered := map[int]bool{}
	for _, r := range w.racks {
		for id := range r.attempts {
			if id.Work == work.Key() {
				covered[id.Task] = true
			}
		}
	}
	for id := range w.starts {
		if id.Work == work.Key() {
			covered[id.Task] = true
		}
	}
	if len(covered) < work.Tasks {
		w.t.Fatalf("%v is started with only %d of %d tasks held", started, len(covered), work.Tasks)
	}
}

// checkCapacity checks that no worker is overcommitted.
func (w *simulation) checkCapacity() {
	for _, r := range w.racks {
		for _, f := range r.rack.Digest().Workers {
			if f.Free.HasNegative() {
				w.t.Fatalf("worker %s is overcommitted: %v", f.ID, f.Free)
			}
		}
	}
}

func (w *simulation) newCaller(key task.Key) uint64 {
	w.lastCaller++
	w.calls[w.lastCaller] = key
	return w.lastCaller
}

// deliver delivers one message.
func (w *simulation) deliver(m message, accepts bool) {
	switch {
	case m.command != nil:
		for _, r := range w.racks {
			if r.name != m.command.Rack {
				continue
			}
			for _, rep := range r.execute(*m.command, accepts, w.onStart) {
				w.messages = append(w.messages, message{report: &rep})
			}
			w.sendDigest(r)
		}
	case m.report != nil:
		w.apply(*m.report)
	case m.digest != nil:
		w.apply(decision.DigestChanged{Digest: *m.digest})
	}
}

func (w *simulation) sendDigest(r *fakeRack) {
	if r.sentSequence == r.rack.Sequence() {
		return
	}
	r.sentSequence = r.rack.Sequence()
	d := r.rack.Digest()
	w.messages = append(w.messages, message{digest: &d})
}

// endAttempt ends a running attempt.
func (w *simulation) endAttempt(r *fakeRack, id task.AttemptID, outcome task.Outcome) {
	r.end(id, outcome)
	rep := r.report(id, r.attempts[id])
	w.messages = append(w.messages, message{report: &rep})
	w.sendDigest(r)
}

// replaceOwner replaces the owner by one that knows only the journal. The given
// number of entries in flight, the oldest, become durable before that.
func (w *simulation) replaceOwner(written int) {
	for _, r := range w.pendingRecords[:written] {
		w.durable = append(w.durable, r.Entry)
	}
	w.pendingRecords, w.inDoubt, w.ownerFailed = nil, nil, true
	for c := range w.calls {
		if _, ok := w.replies[c]; !ok {
			w.orphanedCallers[c] = true
		}
	}
	w.newCore()
}
