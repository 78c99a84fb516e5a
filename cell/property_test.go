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

// trial runs a cell against workers that obey the users' rules, with owners that are replaced
// and with random orders, losses and delays.
type trial struct {
	t       *rapid.T
	cell    *cell.Cell
	now     time.Duration
	fence   int
	workers []*trialWorker
	jobs    map[string]*trialJob
	// startsInTransit holds orders to start that are still in transit.
	startsInTransit []startInTransit
	next            int
	// reportsInTransit holds reports in transit; they may arrive out of order.
	reportsInTransit []reportInTransit
	// history holds the log of the trial, printed after a failure.
	history   []string
	catalogue workload.Catalogue
	// organisations are those of random jobs.
	organisations []string
}

func (tr *trial) logf(format string, arguments ...any) {
	tr.history = append(tr.history, fmt.Sprintf("%s fence %d: ", tr.now, tr.fence)+fmt.Sprintf(format, arguments...))
}

// fatalf ends the trial and prints the history of a job.
func (tr *trial) fatalf(job, format string, arguments ...any) {
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
	// stopping holds the runs that were ordered to stop, with the time when they have
	// stopped. Until then they are in neither list of a report.
	stopping map[workload.TaskID]time.Duration
	// lastUnreportedEnd is the number of the last end when the worker's lease last expired; ends
	// up to it that are delivered later do not count as reported.
	lastUnreportedEnd int64
	lastEnd           int64
	// reportedEnds holds the numbers of the ends in delivered reports.
	reportedEnds []int64
	down         bool
	disconnected bool
}

type trialJob struct {
	workload.Job
	progress cell.Progress
	state    workload.State
	// ended holds the tasks that have ended as done. done holds those of them whose end was
	// reported before the worker's lease had expired.
	ended map[workload.TaskID]bool
	// begun reports whether a run has begun.
	begun  bool
	done   map[workload.TaskID]bool
	failed map[workload.TaskID]int
}

type reportInTransit struct {
	worker *trialWorker
	sent   time.Duration
	report cell.Report
	life   int64
	// reportsAtDelivery reports whether the worker answers with its state at delivery, as a
	// worker does that delays its answer until a run ends.
	reportsAtDelivery bool
}

type startInTransit struct {
	cell.Start
	at, until time.Duration
	fence     int
	life      int64
}

func newTrial(t *rapid.T) *trial {
	tr := &trial{t: t, now: time.Hour, jobs: map[string]*trialJob{}, catalogue: catalogue()}
	tr.organisations = rapid.SampledFrom([][]string{{""}, {"a", "b", ""}}).Draw(t, "organisations")
	tr.drawLimits()
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

// highestLimits are the highest limits of organisations "a" and "b". Any single job fits one
// below.
var highestLimits = map[string]task.Size{"a": {Processors: 21 * task.Processor}, "b": {Memory: 6 * task.Gibibyte}}

// drawLimits makes the next version of the catalogue, whose limits may be below what runs.
func (tr *trial) drawLimits() {
	lower := rapid.SampledFrom([]task.Size{{}, {Processors: task.Processor, Memory: task.Gibibyte}}).Draw(tr.t, "lower by")
	tr.catalogue = tr.catalogue.WithOrganisations([]workload.Organisation{
		{Name: "a", Limit: task.Size{Processors: highestLimits["a"].Processors - lower.Processors}},
		{Name: "b", Limit: task.Size{Memory: highestLimits["b"].Memory - lower.Memory}},
	})
	tr.catalogue.Version++
	tr.logf("* limits %v", tr.catalogue.Organisations)
}

// takeOver starts a new owner from the records of the previous one.
func (tr *trial) takeOver() {
	tr.fence++
	tr.logf("* new owner")
	tr.reportsInTransit = nil
	tr.cell = cell.New(options())
	tr.cell.SetCatalogue(tr.catalogue)
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

// settle runs scheduling passes, records the changes and carries out the orders until there
// are none.
func (tr *trial) settle() {
	tr.cell.Schedule(tr.now)
	for range 20 {
		actions, changes, entries := tr.cell.TakeOutput()
		for _, n := range entries {
			tr.logf("%+v", n)
		}
		for _, c := range changes {
			tr.record(c)
		}
		tr.checkOrders(actions.Starts)
		tr.checkLimits(actions.Starts)
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

// checkWaiting checks that every job that has not begun is counted as waiting.
func (tr *trial) checkWaiting() {
	for _, q := range catalogue().Queues {
		waiting := 0
		for _, j := range tr.jobs {
			if j.Queue == q.Name && !j.begun && !j.state.Final() {
				waiting++
			}
		}
		if counted := tr.cell.WaitingJobCount(q.Name); counted < waiting {
			tr.fatalf("*", "MIXED: %d waiting jobs of %s are counted, want at least %d", counted, q.Name, waiting)
		}
	}
}

// checkLimits checks that what counts for each organisation is the sum of the sizes of its runs
// that are recorded as open, and that it is within the limit after new starts.
func (tr *trial) checkLimits(starts []cell.Start) {
	counted := map[string]task.Size{}
	for _, j := range tr.jobs {
		for _, s := range j.progress.Steps {
			for _, t := range s.Tasks {
				counted[j.Organisation] = counted[j.Organisation].Plus(j.Steps[s.Step].Size.Times(int64(len(t.Runs))))
			}
		}
	}
	for _, l := range tr.cell.OrganisationLoads() {
		started := slices.ContainsFunc(starts, func(s cell.Start) bool { return tr.jobs[s.Task.Job].Organisation == l.Name })
		if l.Used != counted[l.Name] || started && !l.Used.Fits(l.Limit.Headroom(task.Size{})) {
			tr.fatalf("*", "QUOTA: organisation %s uses %s of %s, its open runs %s", l.Name, l.Used, l.Limit, counted[l.Name])
		}
	}
}

// checkOrders checks the rules for orders to start when they are issued.
func (tr *trial) checkOrders(starts []cell.Start) {
	members := map[workload.StepID][]cell.Start{}
	for _, s := range starts {
		j := tr.jobs[s.Task.Job]
		switch {
		case j == nil:
			tr.fatalf(s.Task.Job, "REFUSED: order to start %s of a refused job", s.Task)
		case j.state.Final():
			tr.fatalf(s.Task.Job, "UNASKED: order to start %s of a job in state %s", s.Task, j.state)
		case tr.worker(s.Worker.ID).Draining:
			tr.fatalf(s.Task.Job, "DRAIN: order to start %s on draining worker %s", s.Task, s.Worker.ID)
		case j.Steps[s.Task.Step].Gang:
			members[s.Task.StepID] = append(members[s.Task.StepID], s)
		}
	}
	for step, orders := range members {
		complete := len(orders) == tr.jobs[step.Job].Steps[step.Step].TaskCount
		if !complete || slices.ContainsFunc(orders, func(s cell.Start) bool { return s.Run != orders[0].Run }) {
			tr.fatalf(step.Job, "GANG: orders to start %v do not start all members of %s with one run number", orders, step)
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
					tr.fatalf(j.ID, "MIXED: job %s is done but task %s is not", j.ID, id)
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

// send carries out an order to start, or loses the order or its answer.
func (tr *trial) send(s cell.Start) {
	w := tr.worker(s.Worker.ID)
	tr.cell.RecordGrant(tr.now, w.ID)
	order := startInTransit{Start: s, until: tr.now + options().StartLease, fence: tr.fence, life: w.Life}
	switch rapid.IntRange(0, 11).Draw(tr.t, "order") {
	case 0:
		order.at = tr.now + time.Duration(rapid.IntRange(0, 5000).Draw(tr.t, "delay"))*ms
		tr.startsInTransit = append(tr.startsInTransit, order)
		tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
	case 1:
		tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.Unwell)
	case 2:
		tr.executeStart(order)
		tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
	default:
		if w.down || w.disconnected {
			tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.NoAnswer)
			return
		}
		if tr.executeStart(order) {
			tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.Accepted)
		} else {
			tr.cell.HandleStartAnswer(tr.now, s.Task, s.Run, w.ID, cell.Superseded)
		}
	}
}

// executeStart starts a run as a worker would, and checks the rules for a start.
func (tr *trial) executeStart(s startInTransit) bool {
	w := tr.worker(s.Worker.ID)
	if w.down || w.disconnected || s.life != w.Life || s.fence < w.fence || tr.now > s.until || s.Run <= w.refused[s.Task] {
		return false
	}
	w.fence = s.fence
	w.until = max(w.until, s.until)
	if run, ok := w.runs[s.Task]; ok {
		return run == s.Run
	}
	tr.logf("%s run %d starts on %s incarnation %d", s.Task, s.Run, w.ID, w.Life)
	tr.check(w, s)
	tr.jobs[s.Task.Job].begun = true
	w.runs[s.Task] = s.Run
	return true
}

func (tr *trial) check(w *trialWorker, s startInTransit) {
	j := tr.jobs[s.Task.Job]
	step := j.Steps[s.Task.Step]
	for _, other := range tr.workers {
		if _, ok := other.runs[s.Task]; ok && !other.down {
			tr.fatalf(s.Task.Job, "TWICE: %s starts on %s while it runs on %s", s.Task, w.ID, other.ID)
		}
	}
	if j.done[s.Task] || step.Gang && j.anyDone(s.Task.Step) {
		tr.fatalf(s.Task.Job, "TWICE: %s starts after it was done", s.Task)
	}
	used := step.Size
	for id := range w.runs {
		used = used.Plus(tr.jobs[id.Job].Steps[id.Step].Size)
	}
	if !used.Fits(w.Capacity) {
		tr.fatalf(w.ID, "LIMIT: %s uses %s of %s", w.ID, used, w.Capacity)
	}
	if running := step.Size.Plus(tr.running(j.Organisation)); !running.Fits(highestLimits[j.Organisation].Headroom(task.Size{})) {
		tr.fatalf(s.Task.Job, "QUOTA: organisation %s runs %s", j.Organisation, running)
	}
	queue := catalogue().QueuesByName()[j.Queue]
	if j.failed[s.Task] >= queue.MaxAttempts {
		tr.fatalf(s.Task.Job, "BUDGET: %s starts after %d failures", s.Task, j.failed[s.Task])
	}
	for _, a := range step.After {
		for i := range j.Steps[a].TaskCount {
			id := workload.TaskID{StepID: workload.StepID{Job: j.ID, Step: a}, Index: i}
			if !j.ended[id] {
				tr.fatalf(s.Task.Job, "ORDER: %s starts before %s is done", s.Task, id)
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

// running returns what runs for an organisation on all workers.
func (tr *trial) running(organisation string) (size task.Size) {
	for _, w := range tr.workers {
		for id := range w.runs {
			if j := tr.jobs[id.Job]; j.Organisation == organisation {
				size = size.Plus(j.Steps[id.Step].Size)
			}
		}
	}
	return size
}

func (tr *trial) stop(s cell.Stop) {
	w := tr.worker(s.Worker.ID)
	if w.down || w.disconnected || tr.fence < w.fence || rapid.IntRange(0, 5).Draw(tr.t, "stop") == 0 {
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

// end ends a run. The outcome counts immediately, reported or not.
func (tr *trial) end(w *trialWorker, id workload.TaskID, outcome cell.Outcome) {
	run := w.runs[id]
	delete(w.stopping, id)
	if outcome == cell.EndedDone {
		tr.jobs[id.Job].ended[id] = true
	}
	tr.logf("%s run %d ends on %s: %s", id, run, w.ID, outcome)
	delete(w.runs, id)
	w.refused[id] = max(w.refused[id], run)
	w.lastEnd++
	w.ended = append(w.ended, cell.EndedRun{Number: w.lastEnd, Task: id, Run: run, Outcome: outcome})
}

func (tr *trial) worker(id string) *trialWorker {
	for _, w := range tr.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// report lets a worker report immediately.
func (tr *trial) report(w *trialWorker) {
	if w.down || w.disconnected {
		return
	}
	tr.deliver(tr.capture(w))
}

// capture returns the report that a worker would make now.
func (tr *trial) capture(w *trialWorker) reportInTransit {
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
	return reportInTransit{worker: w, sent: tr.now, report: r, life: w.Life}
}

// deliver passes a report to the owner; the ends in it count as reported.
func (tr *trial) deliver(c reportInTransit) {
	w, r := c.worker, c.report
	for _, e := range r.Ended {
		j := tr.jobs[e.Task.Job]
		if e.Number <= w.lastUnreportedEnd || c.life != w.Life {
			continue
		}
		switch e.Outcome {
		case cell.EndedDone:
			j.done[e.Task] = true
		case cell.EndedFailed:
			if !slices.Contains(w.reportedEnds, e.Number) {
				j.failed[e.Task]++
			}
		}
		w.reportedEnds = append(w.reportedEnds, e.Number)
	}
	tr.logf("* %s reports %v %v as of %s", w.ID, r.Running, r.Ended, c.sent)
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

// advance advances the clock: leases expire, and delayed orders are carried out.
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
			w.lastUnreportedEnd = w.lastEnd
		}
	}
	var rest []startInTransit
	for _, d := range tr.startsInTransit {
		if d.at <= tr.now {
			tr.executeStart(d)
		} else {
			rest = append(rest, d)
		}
	}
	tr.startsInTransit = rest
	tr.cell.Tick(tr.now, tr.now.Milliseconds())
	tr.settle()
}

// abandon submits a job while the store does not respond: the job is given capacity and then
// refused. Its caller may submit it again before the remaining orders are discarded.
func (tr *trial) abandon() {
	j := tr.randomJob()
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
	tr.logf("%s is refused", j.ID)
	if !tr.cell.Abandon(tr.now, j.ID) {
		tr.fatalf(j.ID, "job %s is not abandoned", j.ID)
	}
	if rapid.Bool().Draw(tr.t, "again") {
		tr.submitJob(j)
	}
	for _, s := range unsent {
		if tr.cell.ShouldSend(s) {
			tr.fatalf(j.ID, "REFUSED: order to start %s is still to be sent", s.Task)
		}
		tr.cell.HandleUnsentStart(tr.now, s)
	}
	tr.settle()
}

func (tr *trial) submitRandomJob() { tr.submitJob(tr.randomJob()) }

func (tr *trial) submitJob(j workload.Job) {
	tr.jobs[j.ID] = &trialJob{Job: j, state: workload.Queued, ended: map[workload.TaskID]bool{}, done: map[workload.TaskID]bool{}, failed: map[workload.TaskID]int{}}
	tr.cell.Submit(tr.now, j)
	tr.settle()
}

func (tr *trial) randomJob() workload.Job {
	tr.next++
	queue := rapid.SampledFrom([]string{"Plain", "Advised", "Twice"}).Draw(tr.t, "queue")
	j := workload.Job{ID: id(tr.next), Queue: queue, Accepted: tr.now.Milliseconds(), Organisation: rapid.SampledFrom(tr.organisations).Draw(tr.t, "organisation")}
	for i := range rapid.IntRange(1, 2).Draw(tr.t, "steps") {
		s := workload.Step{
			TaskCount: rapid.IntRange(1, 5).Draw(tr.t, "tasks"), Gang: rapid.Bool().Draw(tr.t, "gang"),
			Estimate: rapid.SampledFrom([]time.Duration{second, 20 * second}).Draw(tr.t, "estimate"), Checkpoints: rapid.Bool().Draw(tr.t, "checkpoints"),
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

func (tr *trial) endRandomRun() {
	w := rapid.SampledFrom(tr.workers).Draw(tr.t, "worker")
	outcome := rapid.SampledFrom([]cell.Outcome{cell.EndedDone, cell.EndedDone, cell.EndedFailed}).Draw(tr.t, "how")
	ids := sortedTasks(w.runs)
	if len(ids) == 0 {
		return
	}
	if _, ok := w.stopping[ids[0]]; ok {
		return
	}
	if id := ids[0]; !tr.jobs[id.Job].Steps[id.Step].Gang || outcome == cell.EndedFailed {
		tr.end(w, id, outcome)
	} else {
		tr.endGang(id)
	}
}

// endGang ends a gang as done if all its tasks run. The tasks count as done only once their
// ends are reported, which a crash may prevent.
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

func (tr *trial) applyRandomEvent() {
	w := rapid.SampledFrom(tr.workers).Draw(tr.t, "worker")
	switch rapid.IntRange(0, 22).Draw(tr.t, "act") {
	case 22:
		tr.drawLimits()
		tr.cell.SetCatalogue(tr.catalogue)
		tr.settle()
	case 16, 17:
		if !w.disconnected {
			c := tr.capture(w)
			c.reportsAtDelivery = rapid.Bool().Draw(tr.t, "waits")
			tr.reportsInTransit = append(tr.reportsInTransit, c)
		}
	case 18, 19:
		if len(tr.reportsInTransit) > 0 {
			i := rapid.IntRange(0, len(tr.reportsInTransit)-1).Draw(tr.t, "report")
			c := tr.reportsInTransit[i]
			tr.reportsInTransit = slices.Delete(tr.reportsInTransit, i, i+1)
			if sent := c.sent; c.reportsAtDelivery {
				if c.worker.disconnected {
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
		tr.logf("* %s drains", w.ID)
		tr.cell.HandleAnnouncement(tr.now, w.Worker)
		tr.settle()
	case 0, 1:
		tr.submitRandomJob()
	case 2:
		tr.takeOver()
		tr.settle()
	case 3:
		w.disconnected = !w.disconnected
		tr.logf("* %s disconnected: %v", w.ID, w.disconnected)
	case 4:
		tr.restartWorker(w)
	case 5:
		if ids := tr.jobIDs(); len(ids) > 0 {
			tr.cell.Cancel(tr.now, rapid.SampledFrom(ids).Draw(tr.t, "job"))
			tr.settle()
		}
	case 6, 7, 8:
		tr.endRandomRun()
	case 9, 10:
		tr.advance(time.Duration(rapid.IntRange(10, 3000).Draw(tr.t, "length")) * ms)
	default:
		tr.report(w)
	}
}

// restartWorker crashes a worker and starts it again under the same ID.
func (tr *trial) restartWorker(w *trialWorker) {
	tr.logf("* %s restarts", w.ID)
	w.Life++
	w.Draining = false
	w.fence, w.lastEnd, w.until, w.lastUnreportedEnd = 0, 0, 0, 0
	w.runs, w.refused, w.ended = map[workload.TaskID]int{}, map[workload.TaskID]int{}, nil
	w.stopping, w.reportedEnds = map[workload.TaskID]time.Duration{}, nil
	tr.cell.HandleAnnouncement(tr.now, w.Worker)
	tr.settle()
}

// The rules TWICE, LIMIT, QUOTA, ORDER, BUDGET, ROUTE, MIXED, GANG, UNASKED, REFUSED and DRAIN hold
// under random orders, losses and delays of all events, with workers that are disconnected,
// drained and restarted, jobs that are refused after they were given capacity, and owners
// that are replaced, and limits of organisations that change.
func TestRulesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrial(t)
		for range rapid.IntRange(20, 150).Draw(t, "events") {
			tr.applyRandomEvent()
		}
	})
}

// After any sequence of faults, all jobs end once the faults are over.
func TestAllJobsEndAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrial(t)
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			tr.applyRandomEvent()
		}
		for _, w := range tr.workers {
			w.disconnected = false
			if w.Draining {
				tr.restartWorker(w)
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
				tr.fatalf(id, "LOST: job %s did not end, state %s: %+v", id, j.state, j.Job)
			}
		}
	})
}
