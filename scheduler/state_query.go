package scheduler

import (
	"time"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// maxStateWait bounds the time for which the reply to a query waits for the end of its job.
	// It is less than the interval at which a call without a reply is sent again.
	maxStateWait = 250 * time.Millisecond
	// maxWaitingQueries bounds the queries that wait. Further ones are answered at once.
	maxWaitingQueries = 4096
)

// stateQueries holds the queries for the state of jobs that wait for the end of their job, so
// that callers learn of it at once and not with their next query. The zero value is empty.
type stateQueries struct {
	byJob map[string][]func(intake.Reply)
	// due lists the jobs with waiting queries by the time at which these are answered at the
	// latest.
	due   []dueQuery
	count int
}

type dueQuery struct {
	job string
	at  time.Duration
}

// wait adds a query. It reports false if too many wait.
func (q *stateQueries) wait(now time.Duration, job string, reply func(intake.Reply)) bool {
	if q.count >= maxWaitingQueries {
		return false
	}
	if q.byJob == nil {
		q.byJob = map[string][]func(intake.Reply){}
	}
	if len(q.byJob[job]) == 0 {
		q.due = append(q.due, dueQuery{job: job, at: now + maxStateWait})
	}
	q.byJob[job] = append(q.byJob[job], reply)
	q.count++
	return true
}

// answer answers the queries for a job, and returns their number.
func (q *stateQueries) answer(job string, r intake.Reply) int {
	replies := q.byJob[job]
	delete(q.byJob, job)
	q.count -= len(replies)
	for _, reply := range replies {
		reply(r)
	}
	return len(replies)
}

// next returns how long after now the next queries are due, or never.
func (q *stateQueries) next(now time.Duration) time.Duration {
	if len(q.due) == 0 {
		return never
	}
	return max(0, q.due[0].at-now)
}

// takeDue removes and returns the jobs whose queries are due. Queries of a job that are added
// while others wait are due with these.
func (q *stateQueries) takeDue(now time.Duration) []string {
	var jobs []string
	for len(q.due) > 0 && q.due[0].at <= now {
		jobs = append(jobs, q.due[0].job)
		q.due = q.due[1:]
	}
	return jobs
}

// awaitsEnd reports whether the reply to a query for a job is to wait: its end is about to be
// recorded, or it may end at any moment.
func (o *Owner) awaitsEnd(id string, r intake.Reply) bool {
	return r.Outcome == intake.Reported && r.State == workload.Running && (o.pendingFinal[id] || o.cell.MayFinish(id))
}

// answerDueQueries answers the queries that have waited for long enough.
func (o *Owner) answerDueQueries(now time.Duration) {
	for _, id := range o.queries.takeDue(now) {
		if len(o.queries.byJob[id]) > 0 {
			o.queries.answer(id, o.state(id))
		}
	}
}

// answerAllQueries answers all waiting queries with the present states.
func (o *Owner) answerAllQueries() {
	for id := range o.queries.byJob {
		o.queries.answer(id, o.state(id))
	}
	o.queries.due = nil
}
