package rackowner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// startWithin is how long a start is valid on its way, as in package worker.
const startWithin = time.Second

// machine is a worker as an agent keeps it.
type machine struct {
	id       string
	instance int
	epoch    uint64
	lease    time.Time
	running  map[task.AttemptID]task.Size
	ended    map[task.AttemptID]task.Outcome
	events   []worker.Event
}

// wire is an owner's link to a machine.
type wire struct {
	adopted  bool
	instance int
	heard    time.Time
	queue    []sentCommand
	// doubted holds commands that were carried out and not answered.
	doubted []worker.Command
	results []worker.Result
}

// holds reports whether a command for an attempt is under way.
func (w *wire) holds(id task.AttemptID) bool {
	return slices.ContainsFunc(w.queue, func(q sentCommand) bool { return q.command.Attempt == id })
}

type sentCommand struct {
	command worker.Command
	at      time.Time
}

// schedule is a rack whose owner changes, with its workers, its owner of a
// partition, and what must hold.
type schedule struct {
	t        *rapid.T
	now      time.Time
	epoch    uint64
	claims   *rackowner.Claims
	owner    *rackowner.Owner
	hosts    []tablestore.Host
	machines map[string]*machine
	wires    map[string]*wire
	// started counts the starts of each attempt, and over holds those that were
	// reported as refused or ended.
	started map[task.AttemptID]int
	// digest is the latest of the rack, and forgotten the attempts of which the
	// owner of the partition has told to forget the end.
	digest    rack.Digest
	forgotten map[task.AttemptID]bool
	// late is the last digest of the owner before, if it is still on its way.
	late rack.Digest
	// placed holds the attempts whose Place or Hold was sent. It may come after
	// a Withdraw or Settle that overtook it.
	placed map[task.AttemptID]bool
	// renewable tells that owners before may still renew leases.
	renewable bool
	// chosen holds the epoch of the rack when an attempt was first mentioned; its
	// Place was sent no later.
	chosen map[task.AttemptID]uint64
	over   map[task.AttemptID]decision.Status
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{t: t, now: began, claims: &rackowner.Claims{}, machines: map[string]*machine{},
		started: map[task.AttemptID]int{}, forgotten: map[task.AttemptID]bool{}, placed: map[task.AttemptID]bool{}, chosen: map[task.AttemptID]uint64{}, over: map[task.AttemptID]decision.Status{}}
	for i := range 2 {
		id := fmt.Sprintf("w%d", i+1)
		s.hosts = append(s.hosts, host(id))
		s.machines[id] = &machine{id: id, running: map[task.AttemptID]task.Size{}, ended: map[task.AttemptID]task.Outcome{}}
	}
	s.takeOver()
	return s
}

// takeOver gives the rack to an owner that knows nothing but the last digest of the
// owner before, or learns that later.
func (s *schedule) takeOver() {
	s.epoch++
	s.renewable = s.epoch > 1
	s.wires = map[string]*wire{}
	s.owner = rackowner.New(s, s.claims)
	s.late = s.digest
	if rapid.Bool().Draw(s.t, "digest in time") {
		s.lateDigest()
	}
	s.owner.UpdateWorkers(s.now, s.hosts, nil)
	s.owner.Claim(s.now, "r1", s.epoch)
}

// lateDigest tells the owner the last digest of the one before.
func (s *schedule) lateDigest() {
	s.owner.HandleDigest(s.now, s.late)
	s.late = rack.Digest{}
}

// The methods below implement rackowner.Port.

func (s *schedule) Open(_ string, _ uint64, h tablestore.Host) { s.wires[h.ID] = &wire{heard: s.now} }
func (s *schedule) Close(_, id string)                         { delete(s.wires, id) }
func (s *schedule) SetLeaving(string, string, bool)            {}
func (s *schedule) Usage(decision.Usage)                       {}

func (s *schedule) Send(_, id string, c worker.Command) error {
	s.wires[id].queue = append(s.wires[id].queue, sentCommand{command: c, at: s.now})
	return nil
}

// Report implements rackowner.Port and checks what it says.
func (s *schedule) Report(r decision.Report) {
	for _, m := range s.machines {
		if _, runs := m.running[r.Attempt]; runs && (r.Status == decision.Refused || r.Status == decision.Ended) && s.now.Before(m.lease) {
			s.t.Fatalf("attempt %s is reported as %s (%s) and runs on %s", r.Attempt, r.Status, r.Reason, m.id)
		}
	}
	if r.Status == decision.Refused && s.started[r.Attempt] > 0 {
		s.t.Fatalf("attempt %s has started and is reported as refused (%s)", r.Attempt, r.Reason)
	}
	if r.Status == decision.Refused || r.Status == decision.Ended {
		s.over[r.Attempt] = r.Status
	}
}

// step does one thing that may happen.
func (s *schedule) step() {
	defer s.owner.PublishDigests()
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(s.machines))).Draw(s.t, "worker")
	m, w := s.machines[id], s.wires[id]
	switch rapid.IntRange(0, 16).Draw(s.t, "step") {
	case 0, 1, 2:
		s.command()
	case 3, 4, 5, 6:
		s.exchange(m, w, false)
	case 7:
		s.exchange(m, w, true)
	case 8:
		s.finish(m)
	case 9:
		s.deliver(m, w)
	case 10:
		s.pass(time.Duration(rapid.IntRange(1, 20_000).Draw(s.t, "milliseconds")) * time.Millisecond)
	case 11:
		s.restart(m)
	case 12:
		s.forge(m)
	case 13:
		if rapid.IntRange(0, 3).Draw(s.t, "takeover") == 0 {
			s.takeOver()
		}
	case 14:
		s.succeed()
	case 15:
		s.renewable = false
		s.owner.MarkPredecessorsStopped(s.now, "r1", s.epoch)
	case 16:
		s.lateDigest()
	}
}

// succeed gives the rack to an owner that reaches no worker for a while, and asks it
// for everything that was placed.
func (s *schedule) succeed() {
	s.takeOver()
	s.pass(time.Duration(rapid.IntRange(10_000, 20_000).Draw(s.t, "milliseconds")) * time.Millisecond)
	for attempt := range s.placed {
		if !s.forgotten[attempt] {
			s.owner.HandleCommand(s.now, "e1", peer.Command{Partition: "p1", Epoch: 1,
				Command: decision.Command{Verb: decision.Settle, Attempt: attempt, Rack: "r1", Epoch: s.known(attempt)}})
		}
	}
}

// renewBefore lets an owner before, which is not stopped yet, renew the leases of a
// worker that does not obey a later one.
func (s *schedule) renewBefore(m *machine) {
	if s.renewable && m.epoch < s.epoch && m.epoch > 0 {
		m.lease = s.now.Add(worker.LeaseLength)
	}
}

// command sends a command of the owner of the partition.
func (s *schedule) command() {
	verbs := []decision.Verb{decision.Place, decision.Hold, decision.Confirm, decision.Withdraw, decision.Settle, decision.Checkpoint}
	verb := rapid.SampledFrom(verbs).Draw(s.t, "verb")
	id := fmt.Sprintf("x%d", rapid.IntRange(1, 6).Draw(s.t, "attempt"))
	attempt := attemptOf(id)
	if s.forgotten[attempt] {
		return
	}
	// The owner of a partition forgets an attempt only after its end.
	if s.over[attempt] == decision.Ended && rapid.Bool().Draw(s.t, "forget") {
		verb = decision.Forget
		s.forgotten[attempt] = true
	}
	if verb == decision.Place || verb == decision.Hold {
		if s.placed[attempt] {
			return
		}
		s.placed[attempt] = true
	}
	if s.chosen[attempt] == 0 {
		s.chosen[attempt] = s.epoch
	}
	c := command(1, verb, id)
	c.Command.Size = task.Size{Processors: int64(rapid.IntRange(500, 2500).Draw(s.t, "processors")), Slots: 1}
	if verb == decision.Settle || verb == decision.Withdraw {
		c.Command.Size = task.Size{}
	}
	c.Command.Epoch = s.chosen[attempt]
	if verb != decision.Place && verb != decision.Hold {
		c.Command.Epoch = s.known(attempt)
	}
	s.owner.HandleCommand(s.now, "e1", c)
}

// known returns the epoch of the rack for which an attempt was chosen; 0 if the
// owner of the partition does not know it any more.
func (s *schedule) known(id task.AttemptID) uint64 {
	if rapid.Bool().Draw(s.t, "unknown") {
		return 0
	}
	return s.chosen[id]
}

// exchange carries one message to a worker and back, or loses the answer.
func (s *schedule) exchange(m *machine, w *wire, lose bool) {
	if w == nil {
		return
	}
	s.lapse(m)
	if !w.adopted || w.instance != m.instance {
		s.adopt(m, w)
		return
	}
	if m.epoch != s.epoch {
		s.owner.HandleFenced("r1", m.id)
		return
	}
	if w.doubted == nil {
		s.carryOut(m, w)
	}
	if lose {
		return
	}
	s.answer(m, w)
}

func (s *schedule) adopt(m *machine, w *wire) {
	if w.adopted {
		for _, c := range w.doubted {
			s.owner.HandleUnanswered(s.now, "r1", m.id, c)
		}
		w.doubted, w.results = nil, nil
	}
	m.epoch = max(m.epoch, s.epoch)
	w.adopted, w.instance, w.heard = true, m.instance, s.now
	i := worker.Inventory{Worker: m.id, Instance: fmt.Sprint(m.instance), Capacity: capacity}
	for id, size := range m.running {
		i.Attempts = append(i.Attempts, worker.Attempt{ID: id, Size: size})
	}
	for id, outcome := range m.ended {
		i.Attempts = append(i.Attempts, worker.Attempt{ID: id, Outcome: outcome})
	}
	m.events = nil
	s.owner.HandleInventory(s.now, "r1", m.id, i)
}

// carryOut lets the agent carry out what waits.
func (s *schedule) carryOut(m *machine, w *wire) {
	// A batch renews from the last answer that its sender has heard.
	m.lease = w.heard.Add(worker.LeaseLength)
	w.doubted = []worker.Command{}
	for _, q := range w.queue {
		w.doubted = append(w.doubted, q.command)
		w.results = append(w.results, s.obey(m, q))
	}
	w.queue = nil
}

func (s *schedule) answer(m *machine, w *wire) {
	commands, results := w.doubted, w.results
	w.doubted, w.results, w.heard = nil, nil, s.now
	for i, c := range commands {
		s.owner.HandleResult(s.now, "r1", m.id, c, results[i])
	}
}

func (s *schedule) obey(m *machine, q sentCommand) worker.Result {
	id := q.command.Attempt
	_, runs := m.running[id]
	_, known := m.ended[id]
	switch q.command.Verb {
	case worker.Start:
		if runs || known {
			return worker.Result{}
		}
		if s.now.Sub(q.at) > startWithin || !s.now.Before(m.lease) {
			return worker.Result{Refused: worker.RefusedLate}
		}
		s.start(m, id, q.command.Size)
	case worker.Stop, worker.Checkpoint:
		if runs {
			s.end(m, id, task.Stopped)
		} else if !known {
			m.ended[id] = task.Absent
			m.events = append(m.events, worker.Event{Attempt: id, Outcome: task.Absent})
		}
	case worker.Forget:
		delete(m.ended, id)
	}
	return worker.Result{}
}

func (s *schedule) start(m *machine, id task.AttemptID, size task.Size) {
	s.started[id]++
	if s.started[id] > 1 {
		s.t.Fatalf("attempt %s started %d times", id, s.started[id])
	}
	if status, over := s.over[id]; over {
		s.t.Fatalf("attempt %s starts after it was reported as %s", id, status)
	}
	m.running[id] = size
	used := task.Size{}
	for _, taken := range m.running {
		used = used.Plus(taken)
	}
	if !used.Fits(capacity) {
		s.t.Fatalf("worker %s is given %v of %v", m.id, used, capacity)
	}
}

func (s *schedule) end(m *machine, id task.AttemptID, outcome task.Outcome) {
	delete(m.running, id)
	m.ended[id] = outcome
	m.events = append(m.events, worker.Event{Attempt: id, Outcome: outcome})
}

// finish lets something come to its end.
func (s *schedule) finish(m *machine) {
	s.lapse(m)
	for id := range m.running {
		s.end(m, id, task.Succeeded)
		return
	}
}

// deliver tells the owner the events of a worker.
func (s *schedule) deliver(m *machine, w *wire) {
	if w == nil || !w.adopted || w.instance != m.instance || m.epoch != s.epoch {
		return
	}
	events := slices.DeleteFunc(m.events, func(e worker.Event) bool {
		_, runs := m.running[e.Attempt]
		return runs || w.holds(e.Attempt)
	})
	s.owner.HandleEvents(s.now, "r1", m.id, events)
	m.events = nil
}

// pass lets time go by, in which nobody hears of anybody but an owner before.
func (s *schedule) pass(length time.Duration) {
	renews := rapid.Bool().Draw(s.t, "owner before renews")
	for _, m := range s.machines {
		s.lapse(m)
	}
	s.now = s.now.Add(length)
	for id, m := range s.machines {
		if renews {
			s.renewBefore(m)
		}
		s.lapse(m)
		if w := s.wires[id]; w != nil {
			s.owner.HandleSilence(s.now, "r1", id, s.now.Sub(w.heard))
		}
	}
	s.owner.UpdateWorkers(s.now, s.hosts, nil)
	s.owner.Tick(s.now)
}

func (s *schedule) lapse(m *machine) {
	if s.now.Before(m.lease) {
		return
	}
	for id := range m.running {
		s.end(m, id, task.Stopped)
	}
}

func (s *schedule) restart(m *machine) {
	m.instance++
	m.epoch = 0
	m.running, m.ended, m.events = map[task.AttemptID]task.Size{}, map[task.AttemptID]task.Outcome{}, nil
}

// forge makes a worker tell the end of an attempt that it was not given. Of what
// it was given, nobody knows better than the worker.
func (s *schedule) forge(m *machine) {
	id := attemptOf(fmt.Sprintf("x%d", rapid.IntRange(1, 6).Draw(s.t, "attempt")))
	if _, runs := m.running[id]; !runs {
		m.events = append(m.events, worker.Event{Attempt: id, Outcome: task.Broke})
	}
}

// Over random schedules of commands, lost answers, silence, restarts, wrong
// events and takeovers: no attempt starts twice, none starts or runs after it
// was reported as refused or ended, and no worker is given more than it has.
func TestReportsHoldOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.step()
		}
	})
}

// PublishDigest implements rackowner.Port.
func (s *schedule) PublishDigest(d rack.Digest) { s.digest = d }
