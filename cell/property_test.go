package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
	"pgregory.net/rapid"
)

// trial plays a cell among workers that obey the users' rules, and owners that are
// replaced, under random orders, losses and delays.
type trial struct {
	t       *rapid.T
	cell    *cell.Cell
	now     time.Duration
	fence   int
	workers []*trialWorker
	jobs    map[string]*trialJob
	// delayed holds orders to start that have had no answer yet.
	delayed []delayedStart
	next    int
	// captured holds reports that are on their way; they may overtake one another.
	captured []capturedReport
	// history tells what happened, for a failure.
	history []string
}

func (tr *trial) note(format string, arguments ...any) {
	tr.history = append(tr.history, fmt.Sprintf("%s fence %d: ", tr.now, tr.fence)+fmt.Sprintf(format, arguments...))
}

// fail ends the trial with what happened to a job.
func (tr *trial) fail(job, format string, arguments ...any) {
	for _, line := range tr.history {
		if strings.Contains(line, job) || strings.Contains(line, "*") {
			tr.t.Log(line)
		}
	}
	tr.t.Fatalf(format, arguments...)
}

type trialWorker struct {
	workload.Worker
	fence   int
	until   time.Duration
	runs    map[workload.TaskID]int
	refused map[workload.TaskID]int
	ended   []cell.EndedRun
	// stopping holds the runs that were told to stop, and until when they take. They
	// are in neither list.
	stopping map[workload.TaskID]time.Duration
	// void is the last end before the lease has ended; it is never taken note of.
	void   int64
	number int64
	// counted holds the ends that were delivered.
	counted []int64
	down    bool
	cut     bool
}

type trialJob struct {
	workload.Job
	progress cell.Progress
	state    workload.State
	// ended holds the tasks that have ended done, done those of which that was
	// taken note of before the worker's lease had ended.
	ended map[workload.TaskID]bool
	// begun tells that a run has begun.
	begun  bool
	done   map[workload.TaskID]bool
	failed map[workload.TaskID]int
}

type capturedReport struct {
	worker *trialWorker
	sent   time.Duration
	report cell.Report
	life   int64
	// waits tells that the worker answers as it is at the delivery, as one that
	// waits for an end does.
	waits bool
}

type delayedStart struct {
	cell.Start
	at, until time.Duration
	fence     int
	life      int64
}

func newTrial(t *rapid.T) *trial {
	tr := &trial{t: t, now: time.Hour, jobs: map[string]*trialJob{}}
	for i := range 4 {
		tr.workers = append(tr.workers, &trialWorker{
			Worker: workload.Worker{ID: fmt.Sprintf("w%d", i), Service: "S", Address: "x", Life: 1, Labels: []string{"a", fmt.Sprintf("r%d", i/2)},
				Capacity: task.Size{Processors: 8 * task.Processor, Memory: 10 * task.Gibibyte}},
			runs: map[workload.TaskID]int{}, refused: map[workload.TaskID]int{}, stopping: map[workload.TaskID]time.Duration{},
		})
	}
	tr.takeOver()
	return tr
}

// takeOver begins a new owner with what the one before has recorded.
func (tr *trial) takeOver() {
	tr.fence++
	tr.note("* new owner")
	tr.captured = nil
	tr.cell = cell.New(options())
	tr.cell.SetCatalogue(catalogue())
	for _, w := range tr.workers {
		if !w.down {
			tr.cell.HandleAnnouncement(tr.now, w.Worker)
		}
	}
	tr.cell.Tick(tr.now, tr.now.Milliseconds())
	for _, id := range tr.jobIDs() {
		if j := tr.jobs[id]; !j.progress.Closed() {
			tr.cell.Restore(tr.now, tr.now, j.Job, j.progress)
		}
	}
}

func (tr *trial) jobIDs() []string {
	ids := make([]string, 0, len(tr.jobs))
	for id := range tr.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// settle lets the cell decide, records what it changes and carries its orders out.
func (tr *trial) settle() {
	tr.cell.Schedule(tr.now)
	for range 20 {
		actions, changes, notes := tr.cell.TakeOutput()
		for _, n := range notes {
			tr.note("%+v", n)
		}
		for _, c := range changes {
			tr.record(c)
		}
		tr.checkOrders(actions.Starts)
		for _, s := range actions.Starts {
			tr.send(s)
		}
		for _, s := range actions.Stops {
			tr.stop(s)
		}
		for _, q := range actions.Questions {
			tickets := map[string]string{}
			for _, id := range q.Workers {
				tickets[id] = "T"
			}
			tr.cell.HandleAdvice(tr.now, tr.now, q, tickets)
		}
		if len(actions.Starts)+len(actions.Stops)+len(actions.Questions) == 0 {
			tr.checkWaiting()
			return
		}
		tr.cell.Schedule(tr.now)
	}
}

// checkWaiting checks that every job that has not begun is counted.
func (tr *trial) checkWaiting() {
	for _, q := range catalogue().Queues {
		waiting := 0
		for _, j := range tr.jobs {
			if j.Queue == q.Name && !j.begun && !j.state.Final() {
				waiting++
			}
		}
		if told := tr.cell.WaitingJobCount(q.Name); told < waiting {
			tr.fail("*", "MIXED: %d jobs of %s are said to wait, %d do", told, q.Name, waiting)
		}
	}
}

// checkOrders checks what holds of orders to start as they are handed out.
func (tr *trial) checkOrders(starts []cell.Start) {
	members := map[workload.StepID][]cell.Start{}
	for _, s := range starts {
		j := tr.jobs[s.Task.Job]
		switch {
		case j == nil:
			tr.fail(s.Task.Job, "REFUSED: an order to start %s, whose job was refused", s.Task)
		case j.state.Final():
			tr.fail(s.Task.Job, "UNASKED: an order to start %s, whose job is %s", s.Task, j.state)
		case tr.worker(s.Worker.ID).Draining:
			tr.fail(s.Task.Job, "DRAIN: an order to start %s on %s", s.Task, s.Worker.ID)
		case j.Steps[s.Task.Step].Gang:
			members[s.Task.StepID] = append(members[s.Task.StepID], s)
		}
	}
	for step, orders := range members {
		whole := len(orders) == tr.jobs[step.Job].Steps[step.Step].TaskCount
		if !whole || slices.ContainsFunc(orders, func(s cell.Start) bool { return s.Run != orders[0].Run }) {
			tr.fail(step.Job, "GANG: orders to start %v of %s", orders, step)
		}
	}
}

func (tr *trial) record(c cell.Change) {
	j := tr.jobs[c.Job.ID]
	j.progress, j.state = c.Progress, c.Progress.State
	if j.state == workload.Done {
		for step, s := range j.Steps {
			for i := range s.TaskCount {
				id := workload.TaskID{StepID: workload.StepID{Job: j.ID, Step: step}, Index: i}
				if !j.ended[id] {
					tr.fail(j.ID, "MIXED: %s is done and task %s is not", j.ID, id)
				}
			}
		}
	}
}

func (j *trialJob) anyDone(step int) bool {
	for id := range j.done {
		if id.Step == step {
			return true
		}
	}
	return false
}

// send carries out an order to start, or loses it or its answer.
func (tr *trial) send(s cell.Start) {
	w := tr.worker(s.Worker.ID)
	tr.cell.RecordGrant(tr.now, w.ID)
	order := delayedStart{Start: s, until: tr.now + options().StartLease, fence: tr.fence, life: w.Life}
	switch rapid.IntRange(0, 11).Draw(tr.t, "order") {
	case 0:
		order.at = tr.now + time.Duration(rapid.IntRange(0, 5000).Draw(tr.t, "delay"))*ms
		tr.delayed = append(tr.delayed, order)
		tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
	case 1:
		tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.Unwell)
	case 2:
		tr.carryOut(order)
		tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
	default:
		if w.down || w.cut {
			tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
			return
		}
		if tr.carryOut(order) {
			tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.Accepted)
		} else {
			tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.Superseded)
		}
	}
}

// carryOut starts a run as a worker would, and checks that it may.
func (tr *trial) carryOut(s delayedStart) bool {
	w := tr.worker(s.Worker.ID)
	if w.down || w.cut || s.life != w.Life || s.fence < w.fence || tr.now > s.until || s.Run <= w.refused[s.Task] {
		return false
	}
	w.fence = s.fence
	w.until = max(w.until, s.until)
	if run, ok := w.runs[s.Task]; ok {
		return run == s.Run
	}
	tr.note("%s run %d starts on %s life %d", s.Task, s.Run, w.ID, w.Life)
	tr.check(w, s)
	tr.jobs[s.Task.Job].begun = true
	w.runs[s.Task] = s.Run
	return true
}

func (tr *trial) check(w *trialWorker, s delayedStart) {
	j := tr.jobs[s.Task.Job]
	step := j.Steps[s.Task.Step]
	for _, other := range tr.workers {
		if _, ok := other.runs[s.Task]; ok && !other.down {
			tr.fail(s.Task.Job, "TWICE: %s starts on %s and runs on %s", s.Task, w.ID, other.ID)
		}
	}
	if j.done[s.Task] || step.Gang && j.anyDone(s.Task.Step) {
		tr.fail(s.Task.Job, "TWICE: %s starts and is done", s.Task)
	}
	used := step.Size
	for id := range w.runs {
		used = used.Plus(tr.jobs[id.Job].Steps[id.Step].Size)
	}
	if !used.Fits(w.Capacity) {
		tr.fail(w.ID, "LIMIT: %s has %s of %s", w.ID, used, w.Capacity)
	}
	queue := catalogue().QueuesByName()[j.Queue]
	if j.failed[s.Task] >= queue.MaxAttempts {
		tr.fail(s.Task.Job, "BUDGET: %s starts after %d failures", s.Task, j.failed[s.Task])
	}
	for _, a := range step.After {
		for i := range j.Steps[a].TaskCount {
			id := workload.TaskID{StepID: workload.StepID{Job: j.ID, Step: a}, Index: i}
			if !j.ended[id] {
				tr.fail(s.Task.Job, "ORDER: %s starts before %s is done", s.Task, id)
			}
		}
	}
	if step.MaxPerWorker > 0 {
		n := 1
		for id := range w.runs {
			if id.StepID == s.Task.StepID {
				n++
			}
		}
		if n > step.MaxPerWorker {
			tr.t.Fatalf("ROUTE: %d tasks of a step on %s", n, w.ID)
		}
	}
}

func (tr *trial) stop(s cell.Stop) {
	w := tr.worker(s.Worker.ID)
	if w.down || w.cut || tr.fence < w.fence || rapid.IntRange(0, 5).Draw(tr.t, "stop") == 0 {
		tr.cell.HandleStopAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
		return
	}
	w.fence = tr.fence
	w.refused[s.Task] = max(w.refused[s.Task], s.Run)
	if run, ok := w.runs[s.Task]; ok && run == s.Run {
		if _, ok := w.stopping[s.Task]; !ok {
			w.stopping[s.Task] = tr.now + time.Duration(rapid.IntRange(0, int(options().StopTime/ms)).Draw(tr.t, "stopping"))*ms
		}
	}
	tr.cell.HandleStopAnswer(tr.now, s.Task, s.Run, w.ID, cell.Accepted)
}

// end ends a run; the truth of it counts at once.
func (tr *trial) end(w *trialWorker, id workload.TaskID, how cell.Outcome) {
	run := w.runs[id]
	delete(w.stopping, id)
	if how == cell.EndedDone {
		tr.jobs[id.Job].ended[id] = true
	}
	tr.note("%s run %d ends on %s: %s", id, run, w.ID, how)
	delete(w.runs, id)
	w.refused[id] = max(w.refused[id], run)
	w.number++
	w.ended = append(w.ended, cell.EndedRun{Number: w.number, Task: id, Run: run, Outcome: how})
}

func (tr *trial) worker(id string) *trialWorker {
	for _, w := range tr.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// report lets a worker report at once.
func (tr *trial) report(w *trialWorker) {
	if w.down || w.cut {
		return
	}
	tr.deliver(tr.capture(w))
}

// capture returns the report that a worker makes now.
func (tr *trial) capture(w *trialWorker) capturedReport {
	w.fence = tr.fence
	w.until = max(w.until, tr.now+options().Lease)
	tr.cell.RecordGrant(tr.now, w.ID)
	r := cell.Report{Life: w.Life, Complete: true, Ended: slices.Clone(w.ended)}
	for _, id := range sortedTasks(w.runs) {
		if _, ok := w.stopping[id]; ok {
			continue
		}
		r.Running = append(r.Running, cell.ActiveRun{Task: id, Run: w.runs[id], Percent: float64(tr.now.Milliseconds() % 97)})
	}
	return capturedReport{worker: w, sent: tr.now, report: r, life: w.Life}
}

// deliver hands a report to the owner; what it says of ends counts as taken note of.
func (tr *trial) deliver(c capturedReport) {
	w, r := c.worker, c.report
	for _, e := range r.Ended {
		j := tr.jobs[e.Task.Job]
		if e.Number <= w.void || c.life != w.Life {
			continue
		}
		switch e.Outcome {
		case cell.EndedDone:
			j.done[e.Task] = true
		case cell.EndedFailed:
			if !slices.Contains(w.counted, e.Number) {
				j.failed[e.Task]++
			}
		}
		w.counted = append(w.counted, e.Number)
	}
	tr.note("* %s reports %v %v as of %s", w.ID, r.Running, r.Ended, c.sent)
	tr.cell.HandleReport(tr.now, c.sent, w.ID, r)
	tr.settle()
	if c.life == w.Life {
		w.ended = slices.DeleteFunc(w.ended, func(e cell.EndedRun) bool {
			return slices.ContainsFunc(r.Ended, func(other cell.EndedRun) bool { return other.Number == e.Number })
		})
	}
}

func sortedTasks(runs map[workload.TaskID]int) []workload.TaskID {
	var ids []workload.TaskID
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b workload.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}

// advance lets time pass: leases end, and delayed orders are carried out.
func (tr *trial) advance(length time.Duration) {
	tr.now += length
	for _, w := range tr.workers {
		for _, id := range sortedTasks(w.runs) {
			if until, ok := w.stopping[id]; ok && tr.now >= until {
				tr.end(w, id, cell.EndedStopped)
			}
		}
		if tr.now > w.until {
			for _, id := range sortedTasks(w.runs) {
				tr.end(w, id, cell.EndedLapsed)
			}
			w.void = w.number
		}
	}
	var rest []delayedStart
	for _, d := range tr.delayed {
		if d.at <= tr.now {
			tr.carryOut(d)
		} else {
			rest = append(rest, d)
		}
	}
	tr.delayed = rest
	tr.cell.Tick(tr.now, tr.now.Milliseconds())
	tr.settle()
}

// abandon hands a job in while the store is silent: the job gets room and is refused.
// Its caller may hand it in again, before what is left of its orders is thrown away.
func (tr *trial) abandon() {
	j := tr.draw()
	tr.cell.Submit(tr.now, j)
	tr.cell.Schedule(tr.now)
	actions, changes, _ := tr.cell.TakeOutput()
	for _, c := range changes {
		if c.Job.ID != j.ID {
			tr.record(c)
		}
	}
	isOwn := func(s cell.Start) bool { return s.Task.Job == j.ID }
	unsent := slices.DeleteFunc(slices.Clone(actions.Starts), func(s cell.Start) bool { return !isOwn(s) })
	others := slices.DeleteFunc(actions.Starts, isOwn)
	tr.checkOrders(others)
	for _, s := range others {
		tr.send(s)
	}
	for _, s := range actions.Stops {
		tr.stop(s)
	}
	tr.note("%s is refused", j.ID)
	if !tr.cell.Abandon(tr.now, j.ID) {
		tr.fail(j.ID, "%s is not abandoned", j.ID)
	}
	if rapid.Bool().Draw(tr.t, "again") {
		tr.accept(j)
	}
	for _, s := range unsent {
		if tr.cell.ShouldSend(s) {
			tr.fail(j.ID, "REFUSED: the order for %s is still to be sent", s.Task)
		}
		tr.cell.HandleUnsentStart(tr.now, s)
	}
	tr.settle()
}

func (tr *trial) submit() { tr.accept(tr.draw()) }

// accept hands a job in.
func (tr *trial) accept(j workload.Job) {
	tr.jobs[j.ID] = &trialJob{Job: j, state: workload.Queued, ended: map[workload.TaskID]bool{}, done: map[workload.TaskID]bool{}, failed: map[workload.TaskID]int{}}
	tr.cell.Submit(tr.now, j)
	tr.settle()
}

// draw returns any job.
func (tr *trial) draw() workload.Job {
	tr.next++
	queue := rapid.SampledFrom([]string{"Plain", "Advised", "Twice"}).Draw(tr.t, "queue")
	j := workload.Job{ID: id(tr.next), Queue: queue, Accepted: tr.now.Milliseconds()}
	for i := range rapid.IntRange(1, 2).Draw(tr.t, "steps") {
		s := workload.Step{
			TaskCount: rapid.IntRange(1, 5).Draw(tr.t, "tasks"), Estimate: second, Gang: rapid.Bool().Draw(tr.t, "gang"),
			Size:         task.Size{Processors: int64(rapid.IntRange(1, 4).Draw(tr.t, "processors")) * task.Processor, Memory: task.Gibibyte},
			MaxPerWorker: 2 * rapid.IntRange(0, 1).Draw(tr.t, "most"), SameRack: rapid.Bool().Draw(tr.t, "rack"),
		}
		if i > 0 {
			s.After = []int{0}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func (tr *trial) endSome() {
	w := rapid.SampledFrom(tr.workers).Draw(tr.t, "worker")
	how := rapid.SampledFrom([]cell.Outcome{cell.EndedDone, cell.EndedDone, cell.EndedFailed}).Draw(tr.t, "how")
	ids := sortedTasks(w.runs)
	if len(ids) == 0 {
		return
	}
	if _, ok := w.stopping[ids[0]]; ok {
		return
	}
	if id := ids[0]; !tr.jobs[id.Job].Steps[id.Step].Gang || how == cell.EndedFailed {
		tr.end(w, id, how)
	} else {
		tr.endGang(id)
	}
}

// endGang ends a gang as done if all its tasks run. What a crash keeps from being
// reported was not taken note of.
func (tr *trial) endGang(member workload.TaskID) {
	step := tr.jobs[member.Job].Steps[member.Step]
	on := map[workload.TaskID]*trialWorker{}
	for i := range step.TaskCount {
		id := member
		id.Index = i
		for _, w := range tr.workers {
			_, runs := w.runs[id]
			if _, stops := w.stopping[id]; runs && !stops {
				on[id] = w
			}
		}
	}
	if len(on) < step.TaskCount {
		return
	}
	for i := range step.TaskCount {
		id := member
		id.Index = i
		w := on[id]
		tr.end(w, id, cell.EndedDone)
	}
}

func (tr *trial) act() {
	w := rapid.SampledFrom(tr.workers).Draw(tr.t, "worker")
	switch rapid.IntRange(0, 21).Draw(tr.t, "act") {
	case 16, 17:
		if !w.cut {
			c := tr.capture(w)
			c.waits = rapid.Bool().Draw(tr.t, "waits")
			tr.captured = append(tr.captured, c)
		}
	case 18, 19:
		if len(tr.captured) > 0 {
			i := rapid.IntRange(0, len(tr.captured)-1).Draw(tr.t, "report")
			c := tr.captured[i]
			tr.captured = slices.Delete(tr.captured, i, i+1)
			if sent := c.sent; c.waits {
				if c.worker.cut {
					return
				}
				c = tr.capture(c.worker)
				c.sent = sent
			}
			tr.deliver(c)
		}
	case 20:
		tr.abandon()
	case 21:
		w.Draining = true
		tr.note("* %s drains", w.ID)
		tr.cell.HandleAnnouncement(tr.now, w.Worker)
		tr.settle()
	case 0, 1:
		tr.submit()
	case 2:
		tr.takeOver()
		tr.settle()
	case 3:
		w.cut = !w.cut
		tr.note("* %s cut: %v", w.ID, w.cut)
	case 4:
		tr.reborn(w)
	case 5:
		if ids := tr.jobIDs(); len(ids) > 0 {
			tr.cell.Cancel(tr.now, rapid.SampledFrom(ids).Draw(tr.t, "job"))
			tr.settle()
		}
	case 6, 7, 8:
		tr.endSome()
	case 9, 10:
		tr.advance(time.Duration(rapid.IntRange(10, 3000).Draw(tr.t, "length")) * ms)
	default:
		tr.report(w)
	}
}

// reborn lets a worker crash and start again under its name.
func (tr *trial) reborn(w *trialWorker) {
	tr.note("* %s is reborn", w.ID)
	w.Life++
	w.Draining = false
	w.fence, w.number, w.until, w.void = 0, 0, 0, 0
	w.runs, w.refused, w.ended = map[workload.TaskID]int{}, map[workload.TaskID]int{}, nil
	w.stopping, w.counted = map[workload.TaskID]time.Duration{}, nil
	tr.cell.HandleAnnouncement(tr.now, w.Worker)
	tr.settle()
}

// The rules TWICE, LIMIT, ORDER, BUDGET, ROUTE, MIXED, GANG, UNASKED, REFUSED and DRAIN
// hold under random orders, losses and delays of all events, with workers that are cut
// off, drained and reborn, jobs that are refused after they got room, and owners that are
// replaced.
func TestRulesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrial(t)
		for range rapid.IntRange(20, 150).Draw(t, "events") {
			tr.act()
		}
	})
}

// Whatever has happened, all jobs come to an end once the trouble is over.
func TestAllJobsEndAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrial(t)
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			tr.act()
		}
		for _, w := range tr.workers {
			w.cut = false
			if w.Draining {
				tr.reborn(w)
			}
		}
		for range 400 {
			tr.advance(500 * ms)
			for _, w := range tr.workers {
				tr.report(w)
				for _, id := range sortedTasks(w.runs) {
					if _, ok := w.stopping[id]; ok {
						continue
					}
					if tr.jobs[id.Job].Steps[id.Step].Gang {
						tr.endGang(id)
					} else {
						tr.end(w, id, cell.EndedDone)
					}
				}
			}
		}
		for _, id := range tr.jobIDs() {
			if j := tr.jobs[id]; !j.state.Final() {
				tr.fail(id, "LOST: job %s is %s: %+v", id, j.state, j.Job)
			}
		}
	})
}
