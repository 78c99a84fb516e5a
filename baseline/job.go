package baseline

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// taskState is where a task is.
type taskState int

// The states of a task.
const (
	waiting taskState = iota
	recording
	asked
	running
	done
)

// job is a piece of work.
type job struct {
	work      task.Work
	caller    uint64
	partition string
	tasks     []taskOf
	queued    bool
	answered  bool
	failed    bool
}

// taskOf is one task of a job.
type taskOf struct {
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
	j := &job{work: e.Work, caller: e.Caller, partition: e.Partition, tasks: make([]taskOf, e.Work.Tasks)}
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
		s.begun(p.job, p.begun)
	}
}

// recordFailed refuses work that was not accepted and puts back what was not
// begun.
func (s *Scheduler) recordFailed(token uint64) {
	p, ok := s.pending[token]
	delete(s.pending, token)
	switch {
	case !ok || p.job.answered:
	case p.verb == record.Accept:
		s.answer(p.job, task.Refusal(p.job.work.Key(), decision.CodeNotDurable, "The work could not be recorded.", decision.DefaultRetryAfter))
	case p.verb == record.Begin:
		for _, b := range p.begun {
			s.giveBack(b.Rack, b.Attempt)
			p.job.tasks[b.Attempt.Task].state = waiting
		}
		s.enqueue(p.job)
	}
}

// begun asks the rack's owner to start attempts that may start.
func (s *Scheduler) begun(j *job, begun []record.Begun) {
	for _, b := range begun {
		t := &j.tasks[b.Attempt.Task]
		t.state = asked
		s.emit(decision.Command{Verb: decision.Place, Attempt: b.Attempt, Rack: t.rack, Worker: t.worker,
			Size: j.work.TaskSize(), Kind: j.work.Kind, RunTime: j.work.RunTime, Payload: j.work.Payload})
	}
}

// report takes what a rack's owner tells about an attempt.
func (s *Scheduler) report(r decision.Report) {
	s.settle(r)
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

// settle notes from which digest on an attempt is included.
func (s *Scheduler) settle(r decision.Report) {
	d, ok := s.debits[r.Rack][r.Attempt]
	if !ok {
		return
	}
	if r.Status == decision.Refused {
		s.giveBack(r.Rack, r.Attempt)
		return
	}
	d.sequence = r.Sequence
	s.debits[r.Rack][r.Attempt] = d
}

func (s *Scheduler) ended(j *job, t *taskOf, r decision.Report) {
	if t.state == done || j.answered {
		return
	}
	if again(j, t, r.Outcome) {
		t.state = waiting
		s.enqueue(j)
		return
	}
	t.state = done
	j.failed = j.failed || r.Outcome != task.Succeeded
	if slices.ContainsFunc(j.tasks, func(o taskOf) bool { return o.state != done }) {
		return
	}
	state := task.Ran
	if j.failed {
		state = task.Failed
	}
	s.answer(j, task.Answer{Team: j.work.Team, ID: j.work.ID, State: state})
}

func again(j *job, t *taskOf, o task.Outcome) bool {
	if j.work.Kind == task.Service || o == task.Absent {
		return true
	}
	return o != task.Succeeded && j.work.Idempotent && t.number < attempts
}

// answer gives the final answer, records it if need be and forgets the job.
func (s *Scheduler) answer(j *job, a task.Answer) {
	j.answered = true
	s.emit(decision.Reply{Caller: j.caller, Answer: a})
	if j.work.NeedsDurableRecord() && a.State != task.NotRun {
		s.record(pending{job: j, verb: record.Final}, record.Entry{Verb: record.Final, At: s.now, Answer: &a})
	}
	delete(s.jobs, j.work.Key())
}

// cancel answers at once and stops what runs.
func (s *Scheduler) cancel(e decision.Cancelled) {
	j, ok := s.jobs[e.Key]
	if !ok {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case recording:
			s.giveBack(t.rack, j.id(i))
		case asked, running:
			s.emit(decision.Command{Verb: decision.Withdraw, Attempt: j.id(i), Rack: t.rack, Worker: t.worker})
		}
	}
	s.unqueue(j)
	s.answer(j, task.Answer{Team: e.Key.Team, ID: e.Key.ID, State: task.Cancelled, Code: decision.CodeCancelled})
}
