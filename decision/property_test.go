package decision_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestMain sets a fixed seed for the property tests unless the command line
// gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestGuaranteesHoldOnRandomSchedules drives the core through random schedules
// of events and failures and checks every guarantee. Then the failures stop,
// and every job must end.
func TestGuaranteesHoldOnRandomSchedules(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprintf("FaultyRacks=%v", faulty), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newSimulation(t, faulty)
				for range rapid.IntRange(20, 150).Draw(t, "steps") {
					w.step()
					w.checkCapacity()
				}
				w.runWithoutFaults()
			})
		})
	}
}

func (w *simulation) step() {
	t := w.t
	switch action := rapid.IntRange(0, 20).Draw(t, "action"); {
	case action < 3:
		w.submit()
	case action == 3:
		w.cancel()
	case action < 10:
		w.deliverRandomMessage()
	case action < 14:
		w.resolveOldestRecord()
	case action == 14:
		w.resolveDoubt(rapid.Bool().Draw(t, "durable"))
	case action < 17:
		w.now = w.now.Add(time.Duration(rapid.IntRange(10, 2000).Draw(t, "ms")) * time.Millisecond)
		w.apply(decision.Tick{})
	case action < 19:
		w.endRandomAttempt()
	case action == 19:
		w.receiveRandomSummary()
	default:
		w.injectFault()
	}
}

func (w *simulation) submit() {
	t := w.t
	work := task.Work{Team: "t", ID: fmt.Sprintf("j%d", rapid.IntRange(0, 12).Draw(t, "id")), Tasks: 1}
	if old, ok := w.submitted[work.Key()]; ok {
		work = old
		work.FirstTry = false
	} else {
		work.FirstTry = true
		work.Kind = rapid.SampledFrom(task.Kinds()).Draw(t, "kind")
		work.Idempotent = rapid.Bool().Draw(t, "idempotent")
		work.Urgent = rapid.IntRange(0, 4).Draw(t, "urgent") == 0
		work.Size = task.Size{Processors: int64(rapid.IntRange(1, 4).Draw(t, "processors")) * 1000, Memory: task.Gibibyte}
		if work.Kind != task.Request {
			work.Tasks = rapid.IntRange(1, 3).Draw(t, "tasks")
		}
		if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			work.Deadline = w.now.Add(3 * time.Second)
		}
		w.submitted[work.Key()] = work
	}
	w.notRun[work.Key()] = false
	w.apply(decision.Submitted{Caller: w.newCaller(work.Key()), Wait: rapid.Bool().Draw(t, "wait"), Partition: "p", Work: work})
}

func (w *simulation) cancel() {
	key := task.Key{Team: "t", ID: fmt.Sprintf("j%d", rapid.IntRange(0, 12).Draw(w.t, "id"))}
	w.apply(decision.Cancelled{Caller: w.newCaller(key), Key: key})
}

// deliverRandomMessage delivers, drops or duplicates one message in flight.
func (w *simulation) deliverRandomMessage() {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
	m := w.messages[i]
	switch rapid.IntRange(0, 9).Draw(w.t, "fate") {
	case 0:
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
	case 1:
		w.deliver(m, true)
	default:
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
		w.deliver(m, !w.faulty || rapid.IntRange(0, 3).Draw(w.t, "obeys") > 0)
	}
}

// resolveOldestRecord writes the oldest entry, fails it, or leaves it in doubt.
// While one is in doubt, no other is written.
func (w *simulation) resolveOldestRecord() {
	if len(w.pendingRecords) == 0 || len(w.inDoubt) > 0 {
		return
	}
	r := w.pendingRecords[0]
	w.pendingRecords = w.pendingRecords[1:]
	switch rapid.IntRange(0, 5).Draw(w.t, "write") {
	case 0:
		w.apply(decision.RecordFailed{Token: r.Token})
	case 1:
		w.inDoubt = append(w.inDoubt, recordInDoubt{record: r})
		w.apply(decision.RecordFailed{Token: r.Token, InDoubt: true})
	default:
		w.durable = append(w.durable, r.Entry)
		w.apply(decision.Recorded{Token: r.Token})
	}
}

func (w *simulation) resolveDoubt(durable bool) {
	if len(w.inDoubt) == 0 {
		return
	}
	d := w.inDoubt[0]
	w.inDoubt = w.inDoubt[1:]
	if !durable {
		w.apply(decision.RecordFailed{Token: d.record.Token})
		return
	}
	w.durable = append(w.durable, d.record.Entry)
	w.apply(decision.Recorded{Token: d.record.Token})
}

// endRandomAttempt ends a running attempt with a random outcome.
func (w *simulation) endRandomAttempt() {
	r := w.racks[rapid.IntRange(0, len(w.racks)-1).Draw(w.t, "rack")]
	ids := r.attemptsIn(decision.Placed)
	if len(ids) == 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "attempt")]
	w.endAttempt(r, id, rapid.SampledFrom([]task.Outcome{task.Succeeded, task.Succeeded, task.Broke, task.Lost}).Draw(w.t, "outcome"))
}

// receiveRandomSummary applies a random summary of another member and never
// withdraws it: a stale or wrong summary must not keep work from ending.
func (w *simulation) receiveRandomSummary() {
	t := w.t
	member := fmt.Sprintf("e%d", rapid.IntRange(2, 3).Draw(t, "member"))
	if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
		w.apply(decision.MemberExpired{Member: member})
		return
	}
	w.lastSequence++
	s := decision.Summary{Sequence: w.lastSequence}
	for range rapid.IntRange(0, 3).Draw(t, "needs") {
		s.Needs = append(s.Needs, decision.Need{
			Team: rapid.SampledFrom([]string{"t", "other"}).Draw(t, "team"), Class: rapid.IntRange(-1, 7).Draw(t, "class"),
			Size: task.Size{Processors: 1000}, Used: rapid.Int64Range(0, 10_000).Draw(t, "used"), Tasks: rapid.IntRange(-1, 9).Draw(t, "tasks"),
		})
	}
	if rapid.Bool().Draw(t, "barred") {
		s.Barred = []string{"r0-wa", "r1-wb", "unknown"}
	}
	if rapid.Bool().Draw(t, "reserved") {
		s.Reserved = &decision.Reservation{Since: rapid.Int64Range(0, 2*startTime.UnixNano()).Draw(t, "since")}
		for _, r := range w.racks {
			s.Reserved.Racks = append(s.Reserved.Racks, decision.ReservedRack{Rack: r.name, Workers: 3})
		}
	}
	w.apply(decision.SummaryReceived{Member: member, Summary: s})
}

// injectFault replaces the journal by a snapshot, makes a faulty rack lose its
// held capacity, or kills the owner.
func (w *simulation) injectFault() {
	if rapid.IntRange(0, 2).Draw(w.t, "snapshot") == 0 {
		w.durable = w.core.Snapshot("p")
		return
	}
	if w.faulty && rapid.Bool().Draw(w.t, "holds") {
		for _, r := range w.racks {
			for _, id := range r.attemptsIn(decision.Held) {
				r.releaseHeld(id)
			}
			w.sendDigest(r)
		}
		return
	}
	for len(w.inDoubt) > 0 {
		w.resolveDoubt(rapid.Bool().Draw(w.t, "durable"))
	}
	w.replaceOwner(rapid.IntRange(0, len(w.pendingRecords)).Draw(w.t, "kept"))
}

// runWithoutFaults stops all failures and checks that every job ends.
func (w *simulation) runWithoutFaults() {
	for range 220 {
		w.resolveDoubt(true)
		for len(w.pendingRecords) > 0 {
			r := w.pendingRecords[0]
			w.pendingRecords = w.pendingRecords[1:]
			w.durable = append(w.durable, r.Entry)
			w.apply(decision.Recorded{Token: r.Token})
		}
		for _, m := range w.messages[:len(w.messages):len(w.messages)] {
			w.messages = w.messages[1:]
			w.deliver(m, true)
		}
		for _, r := range w.racks {
			for _, id := range r.attemptsIn(decision.Placed) {
				if r.attempts[id].kind != task.Service {
					w.endAttempt(r, id, task.Succeeded)
				}
			}
			for _, id := range r.attemptsIn(decision.Ended) {
				rep := r.report(id, r.attempts[id])
				w.messages = append(w.messages, message{report: &rep})
			}
		}
		w.checkCapacity()
		w.now = w.now.Add(400 * time.Millisecond)
		w.apply(decision.Tick{})
		w.cancelService()
	}
	w.checkAnswers()
}

// cancelService cancels a running service, so that other work gets capacity.
func (w *simulation) cancelService() {
	for _, r := range w.racks {
		for _, id := range r.attemptsIn(decision.Placed) {
			if r.attempts[id].kind == task.Service {
				w.apply(decision.Cancelled{Caller: w.newCaller(id.Work), Key: id.Work})
				return
			}
		}
	}
}

func (w *simulation) checkAnswers() {
	for c, key := range w.calls {
		_, answered := w.replies[c]
		if !answered && !w.orphanedCallers[c] {
			w.t.Fatalf("caller %d of %v (%+v) has no reply; counts %v", c, key, w.submitted[key], w.core.Counts())
		}
	}
	for key := range w.submitted {
		c := w.newCaller(key)
		w.apply(decision.Queried{Caller: c, Key: key})
		a := w.replies[c]
		if !a.State.Final() {
			w.t.Fatalf("%v (%+v) has no final answer: %+v; counts %v", key, w.submitted[key], a, w.core.Counts())
		}
	}
	for _, r := range w.racks {
		if ids := r.attemptsIn(decision.Ended); len(ids) > 0 {
			w.t.Fatalf("no Forget was sent for ended attempts %v", ids)
		}
	}
}
