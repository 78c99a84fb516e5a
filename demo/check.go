package demo

import (
	"fmt"

	"github.com/vanillaquay/vanillaquay/task"
)

// check is a guarantee that the demo verifies.
type check struct {
	name string
	// fault describes the first violation; it is empty if the check passes.
	fault string
}

// checks compares the runs on the workers with the answers to the callers.
func checks(h *history, submissions []submission) []check {
	answered, complete, notRun, unsafe, ended := check{name: "every request has its final answer by its deadline"},
		check{name: "every answer is whole and belongs to its request"},
		check{name: "what was answered as not run did not run"},
		check{name: "what is not idempotent ran at most once"},
		check{name: "every batch run and all-at-once job ran"}
	for _, p := range submissions {
		runs := h.byTask(p.work.ID)
		answered.recordFault(p, answerFault(p))
		complete.recordFault(p, bodyFault(p))
		if p.answer.State == task.NotRun && len(runs) > 0 {
			notRun.recordFault(p, "it ran")
		}
		if !p.work.Idempotent && p.work.Kind == task.Request {
			unsafe.recordFault(p, duplicateStartFault(runs))
		}
		if p.work.Kind == task.Batch || p.work.Kind == task.AllAtOnce {
			ended.recordFault(p, outcomeFault(p))
		}
	}
	exclusive := check{name: "no task ran in two places at once", fault: h.concurrentTask()}
	overcommitted := check{name: "no worker was given more than it has"}
	if h.overcommitted {
		overcommitted.fault = "a worker was"
	}
	return []check{answered, complete, notRun, unsafe, exclusive, overcommitted, ended}
}

// recordFault records a fault of a submission unless an earlier one is
// recorded.
func (c *check) recordFault(p submission, fault string) {
	if c.fault == "" && fault != "" {
		c.fault = p.work.ID + ": " + fault
	}
}

func answerFault(p submission) string {
	switch {
	case p.work.Kind != task.Request:
		return ""
	case !p.final():
		return "no final answer"
	case p.answeredAt.After(p.work.Deadline):
		return fmt.Sprintf("the answer came %v late", p.answeredAt.Sub(p.work.Deadline))
	default:
		return ""
	}
}

func bodyFault(p submission) string {
	if p.answer.State != task.Ran {
		return ""
	}
	if p.answer.ID != p.work.ID || len(p.answer.Bodies) != p.work.Tasks {
		return fmt.Sprintf("got %d bodies of %s", len(p.answer.Bodies), p.answer.ID)
	}
	for _, body := range p.answer.Bodies {
		if string(body) != string(p.work.Payload) {
			return fmt.Sprintf("got the body %q", body)
		}
	}
	return ""
}

func duplicateStartFault(runs [][]run) string {
	for _, attempts := range runs {
		if len(attempts) > 1 {
			return fmt.Sprintf("it started %d times", len(attempts))
		}
	}
	return ""
}

func outcomeFault(p submission) string {
	if p.answer.State != task.Ran {
		return fmt.Sprintf("it is %s (%s)", p.answer.State, p.answer.Reason)
	}
	return ""
}
