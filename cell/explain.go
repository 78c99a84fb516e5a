package cell

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// newJobID is the ID of the job that a query about a queue describes. It isn't hexadecimal, so
	// that no caller uses it, and comes after the other jobs that rank equally.
	newJobID = "~~~~~~~~~~~~~~~~"
	// maxListedSteps is the number of steps in StepExplanation.RankedBefore.
	maxListedSteps = 5
)

// Query asks how a job is handled now.
type Query struct {
	// Job is the ID of a job; "" asks about a new job, which the other fields describe.
	Job string `json:",omitempty"`
	// Queue and Organisation are those of a new job, and Step is its only step.
	Queue        string        `json:",omitempty"`
	Organisation string        `json:",omitempty"`
	Step         workload.Step `json:",omitzero"`
	// BeyondShare reports whether the new job counts as beyond the share of its organisation.
	BeyondShare bool `json:"-"`
}

// Explanation is the answer to a Query. Times are in seconds from now, negative in the past.
type Explanation struct {
	Job   string
	Queue string
	// QueueRemoved reports whether the operator has removed the queue. The job runs on as it was
	// accepted.
	QueueRemoved bool           `json:",omitempty"`
	Organisation string         `json:",omitempty"`
	State        workload.State `json:",omitempty"`
	// Refused is why a new job would be refused; "" is that it would be accepted.
	Refused string `json:",omitempty"`
	// BeyondShare reports whether the job comes after those within the share of their organisations.
	BeyondShare bool
	// AgeSeconds is the time since the job was accepted. DueSeconds is when it misses its objective.
	AgeSeconds, ObjectiveSeconds, DueSeconds float64
	// Used and Limit are those of the organisation; a zero field of Limit is no limit.
	Used  task.Size `json:",omitzero"`
	Limit task.Size `json:",omitzero"`
	// UndueOccurrences is the number of occurrences of the job that are not due yet.
	UndueOccurrences int `json:",omitempty"`
	// WaitingSteps is the number of steps of all jobs in the scheduling order.
	WaitingSteps int
	// Steps holds the steps that are due and not done.
	Steps []StepExplanation
}

// StepExplanation tells what the tasks of a step do, or wait for.
type StepExplanation struct {
	ID          string
	Tasks, Done int
	Gang        bool `json:",omitempty"`
	// LatestStartSeconds is the latest start at which the job meets its objective.
	LatestStartSeconds float64
	// Lateness is InTime, Late or Expired.
	Lateness string
	// Rank is the place in the scheduling order, from 1; 0 is none. RankedBefore holds the first of
	// the steps before it.
	Rank         int      `json:",omitempty"`
	RankedBefore []string `json:",omitempty"`
	// FittingTasks is the number of waiting tasks for which the workers that may run them have room
	// now, with or without a valid ticket.
	FittingTasks int `json:",omitempty"`
	// HoldsRoom reports whether a gang holds room from the steps after it.
	HoldsRoom bool `json:",omitempty"`
	// Runs holds the open runs, and Starts where waiting tasks would go now.
	Runs   []Placement `json:",omitempty"`
	Starts []Placement `json:",omitempty"`
	Waits  []Wait      `json:",omitempty"`
}

// Placement is a run, or what the scheduler would place on a worker now.
type Placement struct {
	// Task is the ID of the task of a run. Tasks is the number of tasks to place.
	Task    string      `json:",omitempty"`
	State   chart.State `json:",omitempty"`
	Percent float64     `json:",omitempty"`
	Tasks   int         `json:",omitempty"`
	Worker  string
	Zone    string `json:",omitempty"`
	Rack    string `json:",omitempty"`
	// EndSeconds is the predicted median of the end, and LikelyEndSeconds the 90th percentile; nil
	// is not known.
	EndSeconds       *float64 `json:",omitempty"`
	LikelyEndSeconds *float64 `json:",omitempty"`
}

// Cause is what tasks wait for.
type Cause string

// The causes of waiting.
const (
	// CauseDependencies are steps that are not done, CauseBackoff a delay after a failure, and
	// CauseMembers the other runs of a gang, which have to end before it starts again.
	CauseDependencies Cause = "Dependencies"
	CauseBackoff      Cause = "Backoff"
	CauseMembers      Cause = "Members"
	// CauseRouting is a queue that no configuration known to the owner has or had, or the lack of any
	// configuration.
	CauseRouting Cause = "Routing"
	// CauseLimit is the limit of the organisation.
	CauseLimit Cause = "Limit"
	// CauseQuestion is a first question that is still to be asked, CauseAdvice the answer to a
	// question, and CauseTickets new tickets, as those of the workers with room are not valid.
	CauseQuestion Cause = "Question"
	CauseAdvice   Cause = "Advice"
	CauseTickets  Cause = "Tickets"
	// CauseEligibility is the lack of a worker that the advice service allows, and CauseWorker that
	// of a usable worker of the service, with the label, that is large enough.
	CauseEligibility Cause = "Eligibility"
	CauseWorker      Cause = "Worker"
	// CauseRoom is capacity that others use or hold.
	CauseRoom Cause = "Room"
	// CauseRotation is the evaluation of a step far back in the scheduling order.
	CauseRotation Cause = "Rotation"
)

// Wait is what some waiting tasks of a step wait for.
type Wait struct {
	Cause  Cause
	Tasks  int
	Detail string
}

// Explain reports how a job is handled now. It changes nothing: it calls the functions of a
// scheduling pass on a copy. The error satisfies errors.NotFound for an unknown job, queue or
// organisation, and errors.NotValid for a job that no caller may submit.
func (c *Cell) Explain(now time.Duration, q Query) (Explanation, error) {
	v := c.copyForExplain()
	if q.Job == "" {
		if err := v.submitQuery(now, q); err != nil {
			return Explanation{}, err
		}
		q.Job = newJobID
	}
	j := v.jobs[q.Job]
	if j == nil {
		return Explanation{}, errors.NotFoundf("job %q", q.Job)
	}
	v.updateEstimates(j)
	objective := j.objective(j.queue())
	e := Explanation{
		Job: j.ID, Queue: j.Queue, QueueRemoved: c.isOrphaned(j), Organisation: j.Organisation, State: j.state, BeyondShare: j.BeyondShare,
		AgeSeconds: seconds(now - j.acceptedAt), ObjectiveSeconds: seconds(objective), DueSeconds: seconds(j.acceptedAt + objective - now),
		Used: v.usage.Used(j.Organisation), Limit: v.usage.Limit(j.Organisation), UndueOccurrences: j.Occurrences() - j.dueCount,
	}
	if j.ID == newJobID {
		e.Job, e.State = "", ""
	}
	p := newExplainPass(v, now)
	e.WaitingSteps = len(p.order)
	if !j.state.Final() {
		e.Steps = p.explain(j)
	}
	return e, nil
}

// submitQuery adds the new job of a query.
func (c *Cell) submitQuery(now time.Duration, q Query) error {
	if _, ok := c.queues[q.Queue]; !ok {
		return errors.NotFoundf("queue %q", q.Queue)
	}
	known := func(o workload.Organisation) bool { return o.Name == q.Organisation }
	if q.Organisation != "" && !slices.ContainsFunc(c.catalogue.Organisations, known) {
		return errors.NotFoundf("organisation %q", q.Organisation)
	}
	job := workload.Job{ID: newJobID, Queue: q.Queue, Organisation: q.Organisation, BeyondShare: q.BeyondShare, Steps: []workload.Step{q.Step}}
	if err := job.Validate(); err != nil {
		return errors.Trace(err)
	}
	c.Submit(now, job)
	return nil
}

// explainRuns returns the open runs of a step.
func (c *Cell) explainRuns(now time.Duration, s *step) []Placement {
	var list []Placement
	for _, t := range s.tasks {
		for _, r := range t.runs {
			list = append(list, Placement{
				Task: r.id.String(), State: r.state, Percent: r.percent, Worker: r.worker.ID, Zone: r.worker.Zone, Rack: r.worker.Rack(),
				EndSeconds: endSeconds(c.remaining(now, r, evenly)), LikelyEndSeconds: endSeconds(c.remaining(now, r, likely)),
			})
		}
	}
	return list
}

// explainStarts returns where a plan places tasks of a step. The members of a gang end together.
func (c *Cell) explainStarts(now time.Duration, s *step, plan []*worker) []Placement {
	var list []Placement
	var longest [2]time.Duration
	for _, w := range distinct(plan) {
		ends := [2]time.Duration{unknownRemaining, unknownRemaining}
		if !s.Daemon && !s.Filler {
			for i, p := range [...]float64{evenly, likely} {
				ends[i] = c.remainingAlone(now, s, &run{worker: w.Worker}, p)
			}
		}
		longest = [2]time.Duration{max(longest[0], ends[0]), max(longest[1], ends[1])}
		tasks := 0
		for _, other := range plan {
			if other == w {
				tasks++
			}
		}
		list = append(list, Placement{Tasks: tasks, Worker: w.ID, Zone: w.Zone, Rack: w.Rack(), EndSeconds: endSeconds(ends[0]), LikelyEndSeconds: endSeconds(ends[1])})
	}
	for i := range list {
		if s.Gang {
			list[i].EndSeconds, list[i].LikelyEndSeconds = endSeconds(longest[0]), endSeconds(longest[1])
		}
	}
	return list
}

// endSeconds returns a remaining time in seconds, or nil if it is not known.
func endSeconds(remaining time.Duration) *float64 {
	if remaining == unknownRemaining {
		return nil
	}
	s := seconds(remaining)
	return &s
}

// seconds returns a duration in seconds, in whole milliseconds.
func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }
