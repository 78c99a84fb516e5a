package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/tenure"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Bounds of the platform.
const (
	cancelTime   = 3 * time.Second
	stableWindow = 4 * time.Second
	maxHold      = 6 * time.Second
)

func trialOptions() cell.Options {
	return cell.Options{Lease: 4 * time.Second, StartLease: 2500 * time.Millisecond, ClockSkew: 0.03, StopTime: 900 * time.Millisecond}
}

// cancelTrial runs owners in succession over the same records, with workers, callers and a
// store on a virtual clock. Calls, orders, reports and transactions are lost, delayed and
// copied at random.
type cancelTrial struct {
	t   *rapid.T
	now time.Duration
	// ahead is how far the wall clock of the present owner is ahead.
	ahead time.Duration
	owner *scheduler.Owner
	fence int64
	store storedRows
	jobs  map[string]*trialJob
	ids   []string
	calls []trialCall
	// lastCommit is when the present owner last recorded anything. While storeDown is set it
	// can't.
	lastCommit time.Duration
	storeDown  bool
	// inFlight holds the transaction in flight, if committing is set.
	committing bool
	inFlight   []ledger.Change
	// openStarts and committedStarts hold the orders to start that wait for the next
	// transaction and for the one in flight. queue holds orders that wait for their worker.
	openStarts, committedStarts []cell.Start
	queue                       []queuedStart
	// stale holds orders in the queues of earlier owners that don't know yet that they were
	// replaced.
	stale   []queuedStart
	transit []trialStart
	reports []trialReport
	workers []*cancelWorker
	// calmSince is when the faults ended; 0 is not yet.
	calmSince time.Duration
	next      int
	history   []string
}

type trialJob struct {
	workload.Job
	// acknowledgedAt is when a cancellation was first acknowledged; 0 is never.
	acknowledgedAt time.Duration
	// sent and refused count the copies of its submission.
	sent, refused int
	// saved holds the checkpoints of each step.
	saved map[workload.StepID]map[string]bool
}

type trialCall struct {
	intake.Call
	at time.Duration
}

type queuedStart struct {
	cell.Start
	at    time.Duration
	fence int64
	// until is a time on the worker's clock.
	until time.Duration
}

// trialStart is an order that was sent and is carried out at a time.
type trialStart struct {
	queuedStart
	arrives time.Duration
}

type trialReport struct {
	worker  *cancelWorker
	sent    time.Duration
	arrives time.Duration
	fence   int64
	report  cell.Report
}

type cancelWorker struct {
	workload.Worker
	// bootedAt is when its clock was 0. heardBootedAt is the value that the present owner
	// knows; heard reports whether there is one.
	bootedAt, heardBootedAt time.Duration
	heard                   bool
	fence                   int64
	until                   time.Duration
	runs                    map[workload.TaskID]*trialRun
	refused                 map[workload.TaskID]int
	ended                   []cell.EndedRun
	lastEnd                 int64
	unreachable             bool
}

type trialRun struct {
	number     int
	checkpoint string
	startedAt  time.Duration
	// stopsAt is when an order to stop takes effect; 0 is none.
	stopsAt time.Duration
	percent float64
}

func (w *cancelWorker) clock(now time.Duration) time.Duration { return now - w.bootedAt }

// Reply implements scheduler.Members. The number of a call is the index of its job.
func (tr *cancelTrial) Reply(_ string, a intake.Answer) {
	j := tr.jobs[tr.ids[a.Number>>1]]
	cancels := a.Number&1 == 1
	tr.logf("%s reply %s cancels %v", j.ID, a.Reply.Outcome, cancels)
	switch {
	case !cancels && (a.Reply.Outcome == intake.Overloaded || a.Reply.Outcome == intake.Unavailable):
		j.refused++
	case cancels && (a.Reply.Outcome == intake.Accepted || a.Reply.Outcome == intake.NotFound) && j.acknowledgedAt == 0:
		j.acknowledgedAt = tr.now
	}
}

func (tr *cancelTrial) AdviceHosts() []string                        { return nil }
func (tr *cancelTrial) SendQuestion(string, scheduler.Question) bool { return false }

func (tr *cancelTrial) logf(format string, arguments ...any) {
	tr.history = append(tr.history, fmt.Sprintf("%s fence %d: ", tr.now, tr.fence)+fmt.Sprintf(format, arguments...))
}

// fatalf ends the trial and prints the history of a job.
func (tr *cancelTrial) fatalf(job, format string, arguments ...any) {
	for _, line := range tr.history {
		if strings.Contains(line, job) || strings.Contains(line, "*") {
			tr.t.Log(line)
		}
	}
	tr.t.Fatalf(format, arguments...)
}

func (tr *cancelTrial) oneIn(n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(tr.t, label) == 0
}

func (tr *cancelTrial) delay(most time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(tr.t, label)) * time.Millisecond
}

func newCancelTrial(t *rapid.T) *cancelTrial {
	tr := &cancelTrial{t: t, now: time.Hour, store: storedRows{}, jobs: map[string]*trialJob{}}
	for i := range 3 {
		tr.workers = append(tr.workers, &cancelWorker{
			Worker: workload.Worker{ID: fmt.Sprintf("w%d", i), Service: "S", Address: "x", Life: 1, Capacity: task.Size{Processors: 8 * task.Processor, Memory: 64 * task.Gibibyte}},
			runs:   map[workload.TaskID]*trialRun{}, refused: map[workload.TaskID]int{},
		})
	}
	tr.takeOver()
	return tr
}

// takeOver replaces the owner. Of its transaction in flight any number of the changes may have
// been recorded, and the orders in its queues may still be sent.
func (tr *cancelTrial) takeOver() {
	if tr.committing {
		n := rapid.IntRange(0, len(tr.inFlight)).Draw(tr.t, "recorded")
		tr.store.write(tr.inFlight[:n])
	}
	if rapid.Bool().Draw(tr.t, "continues") {
		tr.stale = append(tr.stale, tr.queue...)
	}
	tr.committing, tr.inFlight = false, nil
	tr.openStarts, tr.committedStarts, tr.queue, tr.reports = nil, nil, nil, nil
	tr.fence++
	tr.ahead = time.Duration(rapid.IntRange(-5, 5).Draw(tr.t, "ahead")) * time.Second
	tr.logf("* new owner, clock ahead by %s", tr.ahead)
	l := &ledger.Ledger{}
	tr.owner = scheduler.New(scheduler.Options{StatusRetention: time.Minute, CellOptions: trialOptions()}, l, nil, nil, nil, tr, &scheduler.Counters{}, discardLog())
	tr.owner.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 3}}, Services: map[string]workload.Service{"S": {Name: "S"}}})
	for _, w := range tr.workers {
		w.heard = false
		tr.owner.AnnounceWorker(tr.now, w.Worker)
	}
	tr.owner.Cell().Tick(tr.now, (tr.now + tr.ahead).Milliseconds())
	rows := slices.SortedFunc(maps.Values(tr.store), func(a, b ledger.Row) int { return strings.Compare(a.Table+"/"+a.Key, b.Table+"/"+b.Key) })
	if err := tr.owner.RestoreJobs(tr.now, tr.now+tenure.OwnerTimeout, rows); err != nil {
		tr.t.Fatal(err)
	}
	tr.lastCommit = tr.now
	// There is no session yet: the orders that follow from the records are not sent.
	_, changes, _ := tr.owner.Cell().TakeOutput()
	tr.owner.AddChanges(changes)
}

// settle takes the output of the cell and sends what needs no record.
func (tr *cancelTrial) settle() {
	tr.owner.Cell().Schedule(tr.now)
	for range 10 {
		actions, changes, entries := tr.owner.Cell().TakeOutput()
		for _, e := range entries {
			tr.logf("%s %s run %d %s %s", e.Event, e.Task, e.Run, e.Worker, e.Reason)
		}
		tr.owner.AddChanges(changes)
		tr.openStarts = append(tr.openStarts, actions.Starts...)
		for _, s := range actions.Stops {
			tr.stop(s)
		}
		if len(actions.Stops)+len(changes) == 0 {
			return
		}
	}
}

func (tr *cancelTrial) mayGiveOrders() bool { return tr.now-tr.lastCommit < tenure.OwnerTimeout }

func (tr *cancelTrial) beginCommit() {
	if tr.committing || !tr.owner.HasChanges() {
		return
	}
	changes, err := tr.owner.BeginCommit(tr.now)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.committing, tr.inFlight = true, changes
	tr.committedStarts, tr.openStarts = tr.openStarts, nil
}

func (tr *cancelTrial) endCommit() {
	if !tr.committing || tr.storeDown {
		return
	}
	tr.store.write(tr.inFlight)
	tr.committing, tr.inFlight, tr.lastCommit = false, nil, tr.now
	tr.owner.CompleteCommit()
	starts := tr.committedStarts
	tr.committedStarts = nil
	for _, s := range starts {
		if !tr.owner.Cell().ShouldSend(s) {
			tr.owner.Cell().HandleUnsentStart(tr.now, s)
			continue
		}
		tr.owner.Cell().RecordGrant(tr.now, s.Worker.ID)
		tr.queue = append(tr.queue, queuedStart{Start: s, at: tr.now, fence: tr.fence})
	}
	tr.settle()
}

// sendQueued sends the orders that wait for their workers, as the senders of a session do.
func (tr *cancelTrial) sendQueued() {
	queue := tr.queue
	tr.queue = nil
	for _, q := range queue {
		w := tr.worker(q.Worker.ID)
		if tr.calmSince == 0 && tr.oneIn(2, "waits") {
			tr.queue = append(tr.queue, q)
			continue
		}
		if !w.heard || !tr.mayGiveOrders() || tr.now-q.at > 2*time.Second || !q.Claim() {
			tr.owner.Cell().HandleStartAnswer(tr.now, q.Task, q.Run, w.ID, cell.Unsent)
			continue
		}
		if j := tr.jobs[q.Task.Job]; j.acknowledgedAt != 0 {
			tr.fatalf(j.ID, "UNASKED: order to start %s run %d is sent after the cancellation", q.Task, q.Run)
		}
		tr.send(q, w)
	}
	tr.settle()
}

// send sends an order to a worker, which carries it out at once, late, or never.
func (tr *cancelTrial) send(q queuedStart, w *cancelWorker) {
	c := tr.owner.Cell()
	c.RecordGrant(tr.now, w.ID)
	q.until = tr.now - w.heardBootedAt + trialOptions().StartLease
	way := 3
	if tr.calmSince == 0 {
		way = rapid.IntRange(0, 5).Draw(tr.t, "order")
	}
	switch way {
	case 0, 1:
		tr.transit = append(tr.transit, trialStart{queuedStart: q, arrives: tr.now + tr.delay(12*time.Second, "late")})
		if way == 0 {
			c.HandleStartAnswer(tr.now, q.Task, q.Run, w.ID, cell.NoAnswer)
			return
		}
		// A copy of the order is carried out late.
		fallthrough
	default:
		answer := cell.NoAnswer
		if !w.unreachable {
			answer = tr.execute(w, q)
		}
		if tr.calmSince == 0 && tr.oneIn(8, "answer lost") || way == 1 && answer != cell.Accepted {
			answer = cell.NoAnswer
		}
		c.HandleStartAnswer(tr.now, q.Task, q.Run, w.ID, answer)
	}
}

// execute starts a run as a worker would, and checks what it is told.
func (tr *cancelTrial) execute(w *cancelWorker, q queuedStart) cell.Answer {
	clock := w.clock(tr.now)
	switch {
	case q.fence < w.fence:
		return cell.Fenced
	case clock > q.until:
		return cell.TooLate
	case q.Run <= w.refused[q.Task]:
		return cell.Superseded
	}
	w.fence = q.fence
	w.until = max(w.until, min(q.until, clock+maxHold))
	if r, ok := w.runs[q.Task]; ok {
		if r.number == q.Run {
			return cell.Accepted
		}
		return cell.Superseded
	}
	j := tr.jobs[q.Task.Job]
	tr.logf("%s run %d starts on %s, order of fence %d", q.Task, q.Run, w.ID, q.fence)
	switch {
	case j.sent == j.refused:
		tr.fatalf(j.ID, "REFUSED: %s starts", q.Task)
	case q.Spec != j.Spec:
		tr.fatalf(j.ID, "UNASKED: %s starts with spec %q", q.Task, q.Spec)
	case q.Checkpoint != "" && !j.saved[q.Task.StepID][q.Checkpoint]:
		tr.fatalf(j.ID, "UNASKED: %s starts with checkpoint %q", q.Task, q.Checkpoint)
	}
	w.runs[q.Task] = &trialRun{number: q.Run, checkpoint: q.Checkpoint, startedAt: tr.now}
	return cell.Accepted
}

func (tr *cancelTrial) stop(s cell.Stop) {
	w := tr.worker(s.Worker.ID)
	if !tr.mayGiveOrders() || !s.IsNeeded() {
		return
	}
	calm := tr.calmSince != 0
	if w.unreachable || tr.fence < w.fence || !calm && tr.oneIn(4, "stop lost") {
		tr.owner.Cell().HandleStopAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
		return
	}
	w.fence = tr.fence
	w.refused[s.Task] = max(w.refused[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.number == s.Run && r.stopsAt == 0 {
		r.stopsAt = tr.now + tr.delay(trialOptions().StopTime, "stop")
	}
	answer := cell.Accepted
	if !calm && tr.oneIn(4, "answer lost") {
		answer = cell.NoAnswer
	}
	tr.owner.Cell().HandleStopAnswer(tr.now, s.Task, s.Run, w.ID, answer)
}

func (tr *cancelTrial) worker(id string) *cancelWorker {
	i := slices.IndexFunc(tr.workers, func(w *cancelWorker) bool { return w.ID == id })
	return tr.workers[i]
}

// hold lets a worker report after a delay; it is lost if the worker is unreachable.
func (tr *cancelTrial) hold(w *cancelWorker, delay time.Duration) {
	if w.unreachable || !tr.mayGiveOrders() {
		w.heard = false
		return
	}
	w.fence = max(w.fence, tr.fence)
	if w.heard {
		tr.owner.Cell().RecordGrant(tr.now, w.ID)
		w.until = max(w.until, min(tr.now-w.heardBootedAt+trialOptions().Lease, w.clock(tr.now)+maxHold))
	}
	w.heard, w.heardBootedAt = true, w.bootedAt
	r := cell.Report{Life: w.Life, Ended: slices.Clone(w.ended), Complete: true}
	for _, id := range tr.tasks(w) {
		if run := w.runs[id]; run.stopsAt == 0 {
			r.Running = append(r.Running, cell.ActiveRun{Task: id, Run: run.number, Checkpoint: run.checkpoint, Percent: run.percent})
		}
	}
	tr.reports = append(tr.reports, trialReport{worker: w, sent: tr.now, arrives: tr.now + delay, fence: tr.fence, report: r})
}

func (tr *cancelTrial) tasks(w *cancelWorker) []workload.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

func (tr *cancelTrial) end(w *cancelWorker, id workload.TaskID, outcome cell.Outcome) {
	r := w.runs[id]
	delete(w.runs, id)
	w.refused[id] = max(w.refused[id], r.number)
	w.lastEnd++
	tr.logf("%s run %d ends on %s: %s", id, r.number, w.ID, outcome)
	w.ended = append(w.ended, cell.EndedRun{Number: w.lastEnd, Task: id, Run: r.number, Outcome: outcome, Checkpoint: r.checkpoint})
}

// restart ends a worker and starts it again under the same ID. Its clock begins anew, so that
// late orders for its earlier life look punctual.
func (tr *cancelTrial) restart(w *cancelWorker) {
	tr.logf("* %s restarts", w.ID)
	w.Life++
	w.bootedAt, w.fence, w.until, w.lastEnd = tr.now, 0, 0, 0
	w.runs, w.refused, w.ended = map[workload.TaskID]*trialRun{}, map[workload.TaskID]int{}, nil
	tr.owner.AnnounceWorker(tr.now, w.Worker)
}

// advance advances the clock in steps.
func (tr *cancelTrial) advance(length time.Duration) {
	const step = 50 * time.Millisecond
	for end := tr.now + length; tr.now < end; {
		tr.now = min(end, tr.now+step)
		tr.advanceWorkers()
		tr.deliver()
		tr.endCommit()
		tr.sendQueued()
		tr.owner.Cell().Tick(tr.now, (tr.now + tr.ahead).Milliseconds())
		tr.owner.AbandonNewJobs(tr.now)
		tr.settle()
		tr.beginCommit()
		tr.check()
	}
}

func (tr *cancelTrial) advanceWorkers() {
	for _, w := range tr.workers {
		for _, id := range tr.tasks(w) {
			r := w.runs[id]
			r.percent += 0.5
			switch {
			case w.clock(tr.now) > w.until:
				tr.end(w, id, cell.EndedLapsed)
			case r.stopsAt != 0 && tr.now >= r.stopsAt:
				tr.end(w, id, cell.EndedStopped)
			}
		}
	}
}

// deliver delivers the calls, orders and reports that are due.
func (tr *cancelTrial) deliver() {
	calls := tr.calls
	tr.calls = nil
	for _, c := range calls {
		if c.at > tr.now {
			tr.calls = append(tr.calls, c)
			continue
		}
		tr.owner.ExecuteCall(tr.now, 0, c.Call)
	}
	transit := tr.transit
	tr.transit = nil
	for _, s := range transit {
		if s.arrives > tr.now {
			tr.transit = append(tr.transit, s)
		} else if w := tr.worker(s.Worker.ID); !w.unreachable {
			tr.execute(w, s.queuedStart)
		}
	}
	reports := tr.reports
	tr.reports = nil
	for _, r := range reports {
		switch {
		case r.arrives > tr.now:
			tr.reports = append(tr.reports, r)
		case r.fence == tr.fence:
			tr.owner.Cell().HandleReport(tr.now, r.sent, r.worker.ID, r.report)
			tr.settle()
		}
	}
}

// check checks that no run of a cancelled job goes on for longer than allowed once calls get
// through.
func (tr *cancelTrial) check() {
	if tr.calmSince == 0 {
		return
	}
	for _, w := range tr.workers {
		for _, id := range tr.tasks(w) {
			j, r := tr.jobs[id.Job], w.runs[id]
			if j.acknowledgedAt == 0 {
				continue
			}
			limit := max(j.acknowledgedAt+cancelTime, tr.calmSince+cancelTime, r.startedAt+stableWindow) + trialOptions().StopTime
			if tr.now > limit {
				tr.fatalf(j.ID, "UNASKED: %s runs on %s, cancelled at %s, started at %s, calm since %s", id, w.ID, j.acknowledgedAt, r.startedAt, tr.calmSince)
			}
		}
	}
}

// submit sends copies of the submission of a new job, which may arrive late and in any order
// with its cancellation.
func (tr *cancelTrial) submit() {
	job := workload.Job{ID: fmt.Sprintf("%016x", len(tr.ids)), Queue: "q", Spec: fmt.Sprintf("spec %d", len(tr.ids)), Steps: []workload.Step{{
		TaskCount: rapid.IntRange(1, 3).Draw(tr.t, "tasks"), Size: task.Size{Processors: task.Processor, Memory: task.Gibibyte}, Estimate: 5 * time.Second,
		Checkpoints: true, Gang: tr.oneIn(3, "gang"), Daemon: tr.oneIn(3, "daemon"),
	}}}
	if tr.oneIn(3, "scheduled") {
		job.Schedule = workload.Schedule{Count: 3, First: (tr.now + time.Second).Milliseconds(), Interval: 2000}
		job.Steps[0].Daemon = false
	}
	j := &trialJob{Job: job, saved: map[workload.StepID]map[string]bool{}}
	tr.jobs[job.ID] = j
	tr.ids = append(tr.ids, job.ID)
	for n := range rapid.IntRange(1, 3).Draw(tr.t, "copies") {
		tr.sendSubmission(len(tr.ids)-1, tr.delay(time.Duration(n)*4*time.Second, "copy"))
	}
}

func (tr *cancelTrial) sendSubmission(index int, delay time.Duration) {
	j := tr.jobs[tr.ids[index]]
	j.sent++
	tr.calls = append(tr.calls, trialCall{Call: intake.Call{Number: uint64(index) << 1, Verb: intake.Submit, Queue: "q", ID: j.ID, Job: j.Job}, at: tr.now + delay})
}

func (tr *cancelTrial) cancel(delay time.Duration) {
	if len(tr.ids) == 0 {
		return
	}
	index := rapid.IntRange(0, len(tr.ids)-1).Draw(tr.t, "job")
	tr.calls = append(tr.calls, trialCall{Call: intake.Call{Number: uint64(index)<<1 | 1, Verb: intake.Cancel, Queue: "q", ID: tr.ids[index]}, at: tr.now + delay})
}

// changeRun lets a run save a checkpoint, or end.
func (tr *cancelTrial) changeRun(w *cancelWorker) {
	ids := tr.tasks(w)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(tr.t, "task")
	j, r := tr.jobs[id.Job], w.runs[id]
	if rapid.Bool().Draw(tr.t, "saves") {
		tr.next++
		r.checkpoint = fmt.Sprintf("%08d", tr.next)
		if j.saved[id.StepID] == nil {
			j.saved[id.StepID] = map[string]bool{}
		}
		j.saved[id.StepID][r.checkpoint] = true
		return
	}
	outcomes := []cell.Outcome{cell.EndedFailed, cell.EndedLapsed}
	if !j.Steps[0].Gang && !j.Steps[0].Daemon {
		outcomes = append(outcomes, cell.EndedDone, cell.EndedDone)
	}
	tr.end(w, id, rapid.SampledFrom(outcomes).Draw(tr.t, "outcome"))
}

func (tr *cancelTrial) applyRandomEvent() {
	w := rapid.SampledFrom(tr.workers).Draw(tr.t, "worker")
	switch rapid.IntRange(0, 19).Draw(tr.t, "event") {
	case 0, 1, 2:
		tr.submit()
	case 3, 4:
		tr.cancel(tr.delay(2*time.Second, "cancel"))
	case 5:
		if len(tr.ids) > 0 {
			tr.sendSubmission(rapid.IntRange(0, len(tr.ids)-1).Draw(tr.t, "job"), tr.delay(8*time.Second, "copy"))
		}
	case 6:
		tr.takeOver()
	case 7:
		w.unreachable = !w.unreachable
		tr.logf("* %s unreachable: %v", w.ID, w.unreachable)
	case 8, 15:
		tr.restart(w)
	case 9:
		tr.storeDown = !tr.storeDown
		tr.logf("* store down: %v", tr.storeDown)
	case 10, 11:
		tr.changeRun(w)
	case 12:
		// An earlier owner sends what is in its queues.
		for _, q := range tr.stale {
			q.until = tr.now - tr.worker(q.Worker.ID).bootedAt + trialOptions().StartLease
			if tr.now-q.at <= 2*time.Second {
				tr.transit = append(tr.transit, trialStart{queuedStart: q, arrives: tr.now + tr.delay(time.Second, "late")})
			}
		}
		tr.stale = nil
	case 13, 14:
		tr.hold(w, tr.delay(1500*time.Millisecond, "report"))
	default:
		tr.advance(tr.delay(1500*time.Millisecond, "length"))
	}
}

// calm ends all faults but orders that are carried out late, and cancels further jobs.
func (tr *cancelTrial) calm() {
	tr.logf("* calm")
	tr.calmSince, tr.storeDown, tr.stale = tr.now, false, nil
	for _, w := range tr.workers {
		w.unreachable = false
	}
	for n := range 300 {
		if n%10 == 0 && n < 150 && rapid.Bool().Draw(tr.t, "cancels") {
			tr.cancel(0)
		}
		if n%5 == 0 {
			for _, w := range tr.workers {
				tr.hold(w, 0)
			}
		}
		tr.advance(50 * time.Millisecond)
	}
}

// No order to start is issued after a cancellation was acknowledged, no run of a cancelled job
// goes on once calls get through, and no task starts with what is not its own: under random
// losses, delays and copies of calls, orders, answers and reports, worker restarts, outages of
// the store, and owners whose clocks differ and that are replaced at any point of a
// transaction (UNASKED, REFUSED).
func TestCancelledJobsStayCancelled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newCancelTrial(t)
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			tr.applyRandomEvent()
		}
		tr.calm()
	})
}
