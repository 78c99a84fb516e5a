package baseline

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// taskState is the state of a task.
type taskState int

// The states of a task.
const (
	waiting taskState = iota
	recording
	dispatched
	running
	done
)

// job is a piece of work and the progress of its tasks.
type job struct {
	work      task.Work
	caller    uint64
	partition string
	tasks     []jobTask
	queued    bool
	answered  bool
	failed    bool
}

// jobTask is one task of a job.
type jobTask struct {
	state        taskState
	number       int
	rack, worker string
}

func (j *job) id(i int) task.AttemptID {
	return task.AttemptID{Work: j.work.Key(), Task: i, Number: j.tasks[i].number}
}

func (s *Scheduler) submit(e decision.Submitted) {
	if _, known := s.jobs[e.Work.Key()]; known {
		return
	}
	j := &job{work: e.Work, caller: e.Caller, partition: e.Partition, tasks: make([]jobTask, e.Work.Tasks)}
	s.jobs[e.Work.Key()] = j
	if !e.Work.NeedsDurableRecord() {
		s.enqueue(j)
		return
	}
	s.record(pending{job: j, verb: record.Accept}, record.Entry{Verb: record.Accept, At: s.now, Work: &e.Work})
}

func (s *Scheduler) record(p pending, e record.Entry) {
	s.token++
	s.pending[s.token] = p
	s.emit(decision.Record{Token: s.token, Partition: p.job.partition, Entry: e})
}

func (s *Scheduler) recorded(token uint64) {
	p, ok := s.pending[token]
	delete(s.pending, token)
	switch {
	case !ok || p.job.answered:
	case p.verb == record.Accept:
		s.enqueue(p.job)
	case p.verb == record.Begin:
		s.dispatch(p.job, p.begun)
	}
}

// recordFailed refuses work whose acceptance could not be recorded, and
// requeues tasks whose start could not be recorded.
func (s *Scheduler) recordFailed(token uint64) {
	p, ok := s.pending[token]
	delete(s.pending, token)
	switch {
	case !ok || p.job.answered:
	case p.verb == record.Accept:
		s.answer(p.job, task.Refusal(p.job.work.Key(), decision.CodeNotDurable, "The work could not be recorded.", decision.DefaultRetryAfter))
	case p.verb == record.Begin:
		for _, b := range p.begun {
			s.releaseDebit(b.Rack, b.Attempt)
			p.job.tasks[b.Attempt.Task].state = waiting
		}
		s.enqueue(p.job)
	}
}

// dispatch commands the rack's owner to start attempts, whose start has been
// recorded if need be.
func (s *Scheduler) dispatch(j *job, begun []record.Begun) {
	for _, b := range begun {
		t := &j.tasks[b.Attempt.Task]
		t.state = dispatched
		s.emit(decision.Command{Verb: decision.Place, Attempt: b.Attempt, Rack: t.rack, Worker: t.worker,
			Size: j.work.TaskSize(), Kind: j.work.Kind, RunTime: j.work.RunTime, Payload: j.work.Payload})
	}
}

// report processes a report of a rack's owner about an attempt.
func (s *Scheduler) report(r decision.Report) {
	s.settleDebit(r)
	if r.Status == decision.Ended {
		s.emit(decision.Command{Verb: decision.Forget, Attempt: r.Attempt, Rack: r.Rack, Worker: r.Worker})
	}
	j, ok := s.jobs[r.Attempt.Work]
	if !ok || j.tasks[r.Attempt.Task].number != r.Attempt.Number {
		return
	}
	t := &j.tasks[r.Attempt.Task]
	switch r.Status {
	case decision.Placed:
		t.state = running
	case decision.Refused:
		t.state = waiting
		s.enqueue(j)
	case decision.Ended:
		s.ended(j, t, r)
	}
}

// settleDebit sets the sequence number of the digest that will include an
// attempt, so that its debit can then be dropped. The debit of a refused
// attempt is released.
func (s *Scheduler) settleDebit(r decision.Report) {
	d, ok := s.debits[r.Rack][r.Attempt]
	if !ok {
		return
	}
	if r.Status == decision.Refused {
		s.releaseDebit(r.Rack, r.Attempt)
		return
	}
	d.sequence = r.Sequence
	s.debits[r.Rack][r.Attempt] = d
}

func (s *Scheduler) ended(j *job, t *jobTask, r decision.Report) {
	if t.state == done || j.answered {
		return
	}
	if shouldRetry(j, t, r.Outcome) {
		t.state = waiting
		s.enqueue(j)
		return
	}
	t.state = done
	j.failed = j.failed || r.Outcome != task.Succeeded
	if slices.ContainsFunc(j.tasks, func(o jobTask) bool { return o.state != done }) {
		return
	}
	state := task.Ran
	if j.failed {
		state = task.Failed
	}
	s.answer(j, task.Answer{Team: j.work.Team, ID: j.work.ID, State: state})
}

func shouldRetry(j *job, t *jobTask, o task.Outcome) bool {
	if j.work.Kind == task.Service || o == task.Absent {
		return true
	}
	return o != task.Succeeded && j.work.Idempotent && t.number < maxAttempts
}

// answer sends the final answer, records it unless it is a refusal or the work
// needs no durable record, and removes the job.
func (s *Scheduler) answer(j *job, a task.Answer) {
	j.answered = true
	s.emit(decision.Reply{Caller: j.caller, Answer: a})
	if j.work.NeedsDurableRecord() && a.State != task.NotRun {
		s.record(pending{job: j, verb: record.Final}, record.Entry{Verb: record.Final, At: s.now, Answer: &a})
	}
	delete(s.jobs, j.work.Key())
}

// cancel answers immediately and withdraws the dispatched attempts.
func (s *Scheduler) cancel(e decision.Cancelled) {
	j, ok := s.jobs[e.Key]
	if !ok {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case recording:
			s.releaseDebit(t.rack, j.id(i))
		case dispatched, running:
			s.emit(decision.Command{Verb: decision.Withdraw, Attempt: j.id(i), Rack: t.rack, Worker: t.worker})
		}
	}
	s.dequeue(j)
	s.answer(j, task.Answer{Team: e.Key.Team, ID: e.Key.ID, State: task.Cancelled, Code: decision.CodeCancelled})
}
