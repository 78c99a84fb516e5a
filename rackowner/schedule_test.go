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

// startTimeout is how long a start may be in flight, as in package worker.
const startTimeout = time.Second

// simulatedWorker is the state of a worker's agent.
type simulatedWorker struct {
	id       string
	instance int
	epoch    uint64
	lease    time.Time
	running  map[task.AttemptID]task.Size
	ended    map[task.AttemptID]task.Outcome
	events   []worker.Event
}

// simulatedLink is an owner's link to a worker.
type simulatedLink struct {
	adopted      bool
	instance     int
	lastAnswerAt time.Time
	queue        []sentCommand
	// unanswered holds commands that were executed but not answered.
	unanswered []worker.Command
	results    []worker.Result
}

// hasQueued reports whether a command for an attempt is queued.
func (w *simulatedLink) hasQueued(id task.AttemptID) bool {
	return slices.ContainsFunc(w.queue, func(q sentCommand) bool { return q.command.Attempt == id })
}

type sentCommand struct {
	command worker.Command
	sentAt  time.Time
}

// schedule simulates a rack with changing owners, its workers and a partition owner, and
// checks the invariants.
type schedule struct {
	t       *rapid.T
	now     time.Time
	epoch   uint64
	claims  *rackowner.Claims
	owner   *rackowner.Owner
	hosts   []tablestore.Host
	workers map[string]*simulatedWorker
	links   map[string]*simulatedLink
	// startCount counts the starts of each attempt; finalStatus holds the attempts
	// reported as refused or ended.
	startCount map[task.AttemptID]int
	// digest is the latest digest of the rack; forgotten holds the attempts whose end the
	// partition owner has acknowledged.
	digest    rack.Digest
	forgotten map[task.AttemptID]bool
	// delayedDigest is the previous owner's last digest while it is in flight.
	delayedDigest rack.Digest
	// placed holds the attempts whose Place or Hold was sent. A Withdraw or Settle may
	// arrive before it.
	placed map[task.AttemptID]bool
	// predecessorsRenew reports whether earlier owners may still renew leases.
	predecessorsRenew bool
	// chosenEpoch holds the epoch of the rack at the first command for an attempt; Place
	// or Hold is sent under it.
	chosenEpoch map[task.AttemptID]uint64
	finalStatus map[task.AttemptID]decision.Status
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{t: t, now: startTime, claims: &rackowner.Claims{}, workers: map[string]*simulatedWorker{},
		startCount: map[task.AttemptID]int{}, forgotten: map[task.AttemptID]bool{}, placed: map[task.AttemptID]bool{}, chosenEpoch: map[task.AttemptID]uint64{}, finalStatus: map[task.AttemptID]decision.Status{}}
	for i := range 2 {
		id := fmt.Sprintf("w%d", i+1)
		s.hosts = append(s.hosts, host(id))
		s.workers[id] = &simulatedWorker{id: id, running: map[task.AttemptID]task.Size{}, ended: map[task.AttemptID]task.Outcome{}}
	}
	s.takeOver()
	return s
}

// takeOver gives the rack to a new owner that knows only the previous owner's last digest,
// which may arrive late.
func (s *schedule) takeOver() {
	s.epoch++
	s.predecessorsRenew = s.epoch > 1
	s.links = map[string]*simulatedLink{}
	s.owner = rackowner.New(s, s.claims)
	s.delayedDigest = s.digest
	if rapid.Bool().Draw(s.t, "digest in time") {
		s.deliverDelayedDigest()
	}
	s.owner.UpdateWorkers(s.now, s.hosts, nil)
	s.owner.Claim(s.now, "r1", s.epoch)
}

// deliverDelayedDigest delivers the previous owner's last digest.
func (s *schedule) deliverDelayedDigest() {
	s.owner.HandleDigest(s.now, s.delayedDigest)
	s.delayedDigest = rack.Digest{}
}

// The methods below implement rackowner.Port.

func (s *schedule) Open(_ string, _ uint64, h tablestore.Host) {
	s.links[h.ID] = &simulatedLink{lastAnswerAt: s.now}
}
func (s *schedule) Close(_, id string)              { delete(s.links, id) }
func (s *schedule) SetLeaving(string, string, bool) {}
func (s *schedule) Usage(decision.Usage)            {}

func (s *schedule) Send(_, id string, c worker.Command) error {
	s.links[id].queue = append(s.links[id].queue, sentCommand{command: c, sentAt: s.now})
	return nil
}

// Report implements rackowner.Port and checks the report against the workers.
func (s *schedule) Report(r decision.Report) {
	for _, m := range s.workers {
		if _, runs := m.running[r.Attempt]; runs && (r.Status == decision.Refused || r.Status == decision.Ended) && s.now.Before(m.lease) {
			s.t.Fatalf("attempt %s is reported as %s (%s) and runs on %s", r.Attempt, r.Status, r.Reason, m.id)
		}
	}
	if r.Status == decision.Refused && s.startCount[r.Attempt] > 0 {
		s.t.Fatalf("attempt %s has started and is reported as refused (%s)", r.Attempt, r.Reason)
	}
	if r.Status == decision.Refused || r.Status == decision.Ended {
		s.finalStatus[r.Attempt] = r.Status
	}
}

// step performs one random event.
func (s *schedule) step() {
	defer s.owner.PublishDigests()
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(s.workers))).Draw(s.t, "worker")
	m, w := s.workers[id], s.links[id]
	switch rapid.IntRange(0, 16).Draw(s.t, "step") {
	case 0, 1, 2:
		s.command()
	case 3, 4, 5, 6:
		s.exchange(m, w, false)
	case 7:
		s.exchange(m, w, true)
	case 8:
		s.completeOne(m)
	case 9:
		s.deliverEvents(m, w)
	case 10:
		s.advanceTime(time.Duration(rapid.IntRange(1, 20_000).Draw(s.t, "milliseconds")) * time.Millisecond)
	case 11:
		s.restart(m)
	case 12:
		s.forgeEnd(m)
	case 13:
		if rapid.IntRange(0, 3).Draw(s.t, "takeover") == 0 {
			s.takeOver()
		}
	case 14:
		s.takeOverUnreachable()
	case 15:
		s.predecessorsRenew = false
		s.owner.MarkPredecessorsStopped(s.now, "r1", s.epoch)
	case 16:
		s.deliverDelayedDigest()
	}
}

// takeOverUnreachable gives the rack to an owner that can't reach any worker for a while,
// and sends it Settle for every placed attempt.
func (s *schedule) takeOverUnreachable() {
	s.takeOver()
	s.advanceTime(time.Duration(rapid.IntRange(10_000, 20_000).Draw(s.t, "milliseconds")) * time.Millisecond)
	for attempt := range s.placed {
		if !s.forgotten[attempt] {
			s.owner.HandleCommand(s.now, "e1", peer.Command{Partition: "p1", Epoch: 1,
				Command: decision.Command{Verb: decision.Settle, Attempt: attempt, Rack: "r1", Epoch: s.commandEpoch(attempt)}})
		}
	}
}

// renewByPredecessor renews the leases of a worker for an earlier owner that has not
// stopped, if the worker does not obey the present owner.
func (s *schedule) renewByPredecessor(m *simulatedWorker) {
	if s.predecessorsRenew && m.epoch < s.epoch && m.epoch > 0 {
		m.lease = s.now.Add(worker.LeaseDuration)
	}
}

// command sends a random command of the partition owner.
func (s *schedule) command() {
	verbs := []decision.Verb{decision.Place, decision.Hold, decision.Confirm, decision.Withdraw, decision.Settle, decision.Checkpoint}
	verb := rapid.SampledFrom(verbs).Draw(s.t, "verb")
	id := fmt.Sprintf("x%d", rapid.IntRange(1, 6).Draw(s.t, "attempt"))
	attempt := attemptOf(id)
	if s.forgotten[attempt] {
		return
	}
	// The owner of a partition forgets an attempt only after its end.
	if s.finalStatus[attempt] == decision.Ended && rapid.Bool().Draw(s.t, "forget") {
		verb = decision.Forget
		s.forgotten[attempt] = true
	}
	if verb == decision.Place || verb == decision.Hold {
		if s.placed[attempt] {
			return
		}
		s.placed[attempt] = true
	}
	if s.chosenEpoch[attempt] == 0 {
		s.chosenEpoch[attempt] = s.epoch
	}
	c := command(1, verb, id)
	c.Command.Size = task.Size{Processors: int64(rapid.IntRange(500, 2500).Draw(s.t, "processors")), Slots: 1}
	if verb == decision.Settle || verb == decision.Withdraw {
		c.Command.Size = task.Size{}
	}
	c.Command.Epoch = s.chosenEpoch[attempt]
	if verb != decision.Place && verb != decision.Hold {
		c.Command.Epoch = s.commandEpoch(attempt)
	}
	s.owner.HandleCommand(s.now, "e1", c)
}

// commandEpoch returns the rack epoch for which an attempt was chosen, or 0 as if the
// partition owner no longer knew it.
func (s *schedule) commandEpoch(id task.AttemptID) uint64 {
	if rapid.Bool().Draw(s.t, "unknown") {
		return 0
	}
	return s.chosenEpoch[id]
}

// exchange carries one message to a worker and the answer back, or loses the answer.
func (s *schedule) exchange(m *simulatedWorker, w *simulatedLink, lose bool) {
	if w == nil {
		return
	}
	s.expireLease(m)
	if !w.adopted || w.instance != m.instance {
		s.adopt(m, w)
		return
	}
	if m.epoch != s.epoch {
		s.owner.HandleFenced("r1", m.id)
		return
	}
	if w.unanswered == nil {
		s.executeQueued(m, w)
	}
	if lose {
		return
	}
	s.answer(m, w)
}

func (s *schedule) adopt(m *simulatedWorker, w *simulatedLink) {
	if w.adopted {
		for _, c := range w.unanswered {
			s.owner.HandleUnanswered(s.now, "r1", m.id, c)
		}
		w.unanswered, w.results = nil, nil
	}
	m.epoch = max(m.epoch, s.epoch)
	w.adopted, w.instance, w.lastAnswerAt = true, m.instance, s.now
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

// executeQueued executes the queued commands on the agent.
func (s *schedule) executeQueued(m *simulatedWorker, w *simulatedLink) {
	// A batch renews the leases from the last answer that its sender received.
	m.lease = w.lastAnswerAt.Add(worker.LeaseDuration)
	w.unanswered = []worker.Command{}
	for _, q := range w.queue {
		w.unanswered = append(w.unanswered, q.command)
		w.results = append(w.results, s.execute(m, q))
	}
	w.queue = nil
}

func (s *schedule) answer(m *simulatedWorker, w *simulatedLink) {
	commands, results := w.unanswered, w.results
	w.unanswered, w.results, w.lastAnswerAt = nil, nil, s.now
	for i, c := range commands {
		s.owner.HandleResult(s.now, "r1", m.id, c, results[i])
	}
}

func (s *schedule) execute(m *simulatedWorker, q sentCommand) worker.Result {
	id := q.command.Attempt
	_, runs := m.running[id]
	_, known := m.ended[id]
	switch q.command.Verb {
	case worker.Start:
		if runs || known {
			return worker.Result{}
		}
		if s.now.Sub(q.sentAt) > startTimeout || !s.now.Before(m.lease) {
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

func (s *schedule) start(m *simulatedWorker, id task.AttemptID, size task.Size) {
	s.startCount[id]++
	if s.startCount[id] > 1 {
		s.t.Fatalf("attempt %s started %d times", id, s.startCount[id])
	}
	if status, over := s.finalStatus[id]; over {
		s.t.Fatalf("attempt %s starts after it was reported as %s", id, status)
	}
	m.running[id] = size
	used := task.Size{}
	for _, taken := range m.running {
		used = used.Plus(taken)
	}
	if !used.Fits(capacity) {
		s.t.Fatalf("worker %s has reserved %v, capacity %v", m.id, used, capacity)
	}
}

func (s *schedule) end(m *simulatedWorker, id task.AttemptID, outcome task.Outcome) {
	delete(m.running, id)
	m.ended[id] = outcome
	m.events = append(m.events, worker.Event{Attempt: id, Outcome: outcome})
}

// completeOne completes one running attempt.
func (s *schedule) completeOne(m *simulatedWorker) {
	s.expireLease(m)
	for id := range m.running {
		s.end(m, id, task.Succeeded)
		return
	}
}

// deliverEvents delivers the events of a worker to the owner.
func (s *schedule) deliverEvents(m *simulatedWorker, w *simulatedLink) {
	if w == nil || !w.adopted || w.instance != m.instance || m.epoch != s.epoch {
		return
	}
	events := slices.DeleteFunc(m.events, func(e worker.Event) bool {
		_, runs := m.running[e.Attempt]
		return runs || w.hasQueued(e.Attempt)
	})
	s.owner.HandleEvents(s.now, "r1", m.id, events)
	m.events = nil
}

// advanceTime advances the clock without contact to any worker, except renewals by an
// earlier owner.
func (s *schedule) advanceTime(length time.Duration) {
	renews := rapid.Bool().Draw(s.t, "owner before renews")
	for _, m := range s.workers {
		s.expireLease(m)
	}
	s.now = s.now.Add(length)
	for id, m := range s.workers {
		if renews {
			s.renewByPredecessor(m)
		}
		s.expireLease(m)
		if w := s.links[id]; w != nil {
			s.owner.HandleSilence(s.now, "r1", id, s.now.Sub(w.lastAnswerAt))
		}
	}
	s.owner.UpdateWorkers(s.now, s.hosts, nil)
	s.owner.Tick(s.now)
}

func (s *schedule) expireLease(m *simulatedWorker) {
	if s.now.Before(m.lease) {
		return
	}
	for id := range m.running {
		s.end(m, id, task.Stopped)
	}
}

func (s *schedule) restart(m *simulatedWorker) {
	m.instance++
	m.epoch = 0
	m.running, m.ended, m.events = map[task.AttemptID]task.Size{}, map[task.AttemptID]task.Outcome{}, nil
}

// forgeEnd sends the end of an attempt that the worker is not running. It never forges the
// end of a running attempt, since the owner can't detect that.
func (s *schedule) forgeEnd(m *simulatedWorker) {
	id := attemptOf(fmt.Sprintf("x%d", rapid.IntRange(1, 6).Draw(s.t, "attempt")))
	if _, runs := m.running[id]; !runs {
		m.events = append(m.events, worker.Event{Attempt: id, Outcome: task.Broke})
	}
}

// TestReportsAreTrueOverRandomSchedules guards against false reports. Over random
// schedules of commands, lost answers, silence, restarts, invalid events and takeovers, no
// attempt starts twice, none starts or runs after it was reported as refused or ended, and
// no worker holds more than its capacity.
func TestReportsAreTrueOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.step()
		}
	})
}

// PublishDigest implements rackowner.Port.
func (s *schedule) PublishDigest(d rack.Digest) { s.digest = d }
