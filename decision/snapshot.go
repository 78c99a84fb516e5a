package decision

import (
	"cmp"
	"slices"
	"strings"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// Snapshot returns entries from which PartitionRecovered rebuilds the core's
// state of a partition. They include the effect of every entry whose Recorded
// was applied, and of later ones only where replaying them again is harmless:
// an acceptance or a final answer not known to be durable is left out.
func (c *Core) Snapshot(partition string) []record.Entry {
	var jobs []*job
	for _, j := range c.jobs {
		if j.partition == partition && j.isAccepted() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, compareSubmission)
	var entries []record.Entry
	for _, j := range jobs {
		entries = j.appendEntries(entries)
	}
	return entries
}

// compareSubmission orders jobs by submission, so that a recovery queues them
// in the same order.
func compareSubmission(a, b *job) int {
	return cmp.Or(
		a.submittedAt.Compare(b.submittedAt),
		strings.Compare(a.work.Team, b.work.Team),
		strings.Compare(a.work.ID, b.work.ID),
	)
}

// isAccepted reports whether the job's acceptance is durable.
func (j *job) isAccepted() bool {
	return j.work.NeedsDurableRecord() && j.state != requestChart.Initial() && j.state != "Recording" && j.state != "Doubted"
}

// appendEntries appends the entries of one job.
func (j *job) appendEntries(entries []record.Entry) []record.Entry {
	work := j.work
	entries = append(entries, record.Entry{Verb: record.Accept, At: j.submittedAt, Work: &work, Ran: j.mayHaveStarted})
	if requestChart.Final(j.state) {
		answer := j.answer
		return append(entries, record.Entry{Verb: record.Final, At: j.endedAt, Answer: &answer})
	}
	begin := record.Entry{Verb: record.Begin, At: j.startedAt}
	for i := range j.tasks {
		if j.tasks[i].number > 0 {
			begin.Begun = append(begin.Begun, j.lastBegun(i))
		}
	}
	if len(begin.Begun) == 0 {
		return entries
	}
	return j.appendEnds(append(entries, begin))
}

// lastBegun returns the last attempt of task i, with the number of earlier ones
// that failed or were lost. If the attempt is done, its own end is not counted,
// since it has an entry of its own.
func (j *job) lastBegun(i int) record.Begun {
	a := &j.tasks[i]
	b := record.Begun{Attempt: j.attemptID(i), Rack: a.rack, Epoch: a.epoch, Failures: a.failures, Losses: a.losses}
	if a.state != "Done" {
		return b
	}
	switch a.outcome {
	case task.Broke:
		b.Failures--
	case task.Lost:
		b.Losses--
	}
	return b
}

// appendEnds appends the ends of attempts that no longer run. A waiting task
// that has had an attempt keeps its attempt number by an entry for the end of
// that attempt.
func (j *job) appendEnds(entries []record.Entry) []record.Entry {
	for i := range j.tasks {
		a := &j.tasks[i]
		end := record.Entry{Verb: record.End, Attempt: j.attemptID(i), Outcome: a.outcome, Body: a.body, Worker: a.worker}
		switch {
		case a.number == 0:
			continue
		case a.state == attemptChart.Initial():
			end.Outcome, end.Body, end.Worker = task.Absent, nil, ""
		case a.state != "Done":
			continue
		}
		entries = append(entries, end)
	}
	return entries
}
