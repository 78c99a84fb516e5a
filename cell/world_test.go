package cell_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

// world is a cell with workers that carry out its orders, on a virtual clock.
type world struct {
	*cell.Cell
	now     time.Duration
	workers map[string]*fakeWorker
	// starts and stops hold all orders in order of issue.
	starts []cell.Start
	stops  []cell.Stop
	// questions holds the unanswered questions.
	questions []cell.Question
	// states holds the last recorded state of each job, progress its last record.
	states     map[string]workload.State
	progress   map[string]cell.Progress
	jobs       map[string]workload.Job
	logEntries []cell.LogEntry
	// answer returns the answer to an order to start; nil accepts all.
	answer func(s cell.Start) cell.Answer
}

// fakeWorker is a worker that carries out all orders.
type fakeWorker struct {
	workload.Worker
	running      []cell.ActiveRun
	ended        []cell.EndedRun
	number       int64
	unresponsive bool
}

func options() cell.Options {
	return cell.Options{Lease: 4 * second, StartLease: 2500 * ms, ClockSkew: 0.03, StopTime: 900 * ms}
}

// catalogue has a plain queue, one with advice, and one that allows two attempts.
func catalogue() workload.Catalogue {
	return workload.Catalogue{
		Version: 1,
		Queues: []workload.Queue{
			{Name: "Plain", Service: "S", MaxAttempts: 3, Stretch: 2, Allowance: second},
			{Name: "Advised", Service: "S", MaxAttempts: 3, Stretch: 2, Allowance: second, Advice: &workload.Advice{BaseDuration: 500 * ms, PerWorkerDuration: 7 * ms, TicketLifetime: 2 * second}},
			{Name: "Twice", Service: "S", MaxAttempts: 2, Stretch: 2, Allowance: second},
		},
		Services: map[string]workload.Service{"S": {Name: "S"}},
	}
}

// newWorld returns a world with workers of 10 processors that have reported.
func newWorld(workers int) *world {
	w := &world{
		Cell: cell.New(options()), now: second, workers: map[string]*fakeWorker{},
		states: map[string]workload.State{}, progress: map[string]cell.Progress{}, jobs: map[string]workload.Job{},
	}
	w.SetCatalogue(catalogue())
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/4))
	}
	w.reportAll()
	return w
}

func (w *world) addWorker(id, rack string) *fakeWorker {
	f := &fakeWorker{Worker: workload.Worker{
		ID: id, Service: "S", Address: id, Capacity: task.Size{Processors: 10 * task.Processor, Memory: 10 * task.Gibibyte},
		Labels: []string{"a", rack}, Life: 1,
	}}
	w.workers[id] = f
	w.HandleAnnouncement(w.now, f.Worker)
	return f
}

// job returns a job of one step of n tasks.
func job(id, queue string, n int, change func(s *workload.Step)) workload.Job {
	s := workload.Step{TaskCount: n, Size: task.Size{Processors: 2 * task.Processor, Memory: task.Gibibyte}, Estimate: second}
	if change != nil {
		change(&s)
	}
	return workload.Job{ID: id, Queue: queue, Steps: []workload.Step{s}}
}

// submit submits a job and carries out the orders that follow.
func (w *world) submit(j workload.Job) {
	w.Submit(w.now, j)
	w.step()
}

// step runs scheduling passes and carries out the orders.
func (w *world) step() {
	for range 10 {
		w.Tick(w.now, w.now.Milliseconds())
		actions, changes, entries := w.TakeOutput()
		w.logEntries = append(w.logEntries, entries...)
		for _, c := range changes {
			w.states[c.Job.ID] = c.Progress.State
			w.progress[c.Job.ID] = c.Progress
			w.jobs[c.Job.ID] = c.Job
		}
		w.questions = append(w.questions, actions.Questions...)
		for _, s := range actions.Starts {
			w.start(s)
		}
		for _, s := range actions.Stops {
			w.stop(s)
		}
		if len(actions.Starts)+len(actions.Stops) == 0 {
			return
		}
	}
}

func (w *world) start(s cell.Start) {
	w.starts = append(w.starts, s)
	f := w.workers[s.Worker.ID]
	answer := cell.Accepted
	if w.answer != nil {
		answer = w.answer(s)
	}
	if answer == cell.Accepted {
		f.running = append(f.running, cell.ActiveRun{Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint})
	}
	w.RecordGrant(w.now, f.ID)
	w.HandleStartAnswer(w.now, s.Task, s.Run, f.ID, answer)
}

func (w *world) stop(s cell.Stop) {
	w.stops = append(w.stops, s)
	f := w.workers[s.Worker.ID]
	if f == nil || f.unresponsive {
		return
	}
	f.end(s.Task, s.Run, cell.EndedStopped)
	w.HandleStopAnswer(w.now, s.Task, s.Run, f.ID, cell.Accepted)
}

func (f *fakeWorker) end(id workload.TaskID, run int, outcome cell.Outcome) {
	i := slices.IndexFunc(f.running, func(r cell.ActiveRun) bool { return r.Task == id && r.Run == run })
	if i < 0 {
		return
	}
	f.running = slices.Delete(f.running, i, i+1)
	f.number++
	f.ended = append(f.ended, cell.EndedRun{Number: f.number, Task: id, Run: run, Outcome: outcome})
}

// endAll ends all runs of a worker.
func (f *fakeWorker) endAll(outcome cell.Outcome) {
	for _, r := range slices.Clone(f.running) {
		f.end(r.Task, r.Run, outcome)
	}
}

// report delivers a report of a worker.
func (w *world) report(id string) {
	f := w.workers[id]
	if f.unresponsive {
		return
	}
	w.RecordGrant(w.now, id)
	w.HandleReport(w.now, w.now, id, cell.Report{Life: f.Life, Running: slices.Clone(f.running), Ended: f.ended, Complete: true})
	f.ended = nil
}

func (w *world) reportAll() {
	ids := w.WorkerIDs()
	for _, id := range ids {
		if w.workers[id] != nil {
			w.report(id)
		}
	}
	w.step()
}

// advance advances the clock, with a report of each worker every half second.
func (w *world) advance(length time.Duration) {
	for end := w.now + length; w.now < end; {
		w.now = min(end, w.now+500*ms)
		for _, f := range w.workers {
			for i := range f.running {
				f.running[i].Percent++
			}
		}
		w.reportAll()
	}
}

// advise answers all questions with tickets for the named workers that are eligible.
func (w *world) advise(eligible func(id string) bool) {
	questions := w.questions
	w.questions = nil
	for _, q := range questions {
		tickets := map[string]string{}
		for _, id := range q.Workers {
			if eligible(id) {
				tickets[id] = "T-" + id
			}
		}
		w.HandleAdvice(w.now, w.now, q, tickets)
	}
	w.step()
}

// runningCount returns the number of runs on all workers.
func (w *world) runningCount() int {
	n := 0
	for _, f := range w.workers {
		n += len(f.running)
	}
	return n
}

func id(n int) string { return fmt.Sprintf("%016x", n) }
