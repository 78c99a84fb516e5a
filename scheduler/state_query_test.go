package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// runningJob returns an owner with a job whose only task runs.
func runningJob(c *qt.C, d *fakeMembers) (*scheduler.Owner, workload.TaskID) {
	o := newOwner(d)
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 2}}})
	o.Cell().HandleAnnouncement(time.Second, workload.Worker{ID: "w", Service: "S", Life: 1, Capacity: task.Size{Processors: task.Processor}})
	o.Cell().HandleReport(time.Second, time.Second, "w", cell.Report{Life: 1, Complete: true})
	o.ExecuteCall(time.Second, 0, submission("a"))
	o.Cell().Tick(time.Second, 1000)
	actions, changes, _ := o.Cell().TakeOutput()
	o.AddChanges(changes)
	c.Assert(actions.Starts, qt.HasLen, 1)
	o.Cell().HandleStartAnswer(time.Second, actions.Starts[0].Task, 1, "w", cell.Accepted)
	return o, actions.Starts[0].Task
}

func query(id string) intake.Call { return intake.Call{Verb: intake.State, ID: id, Queue: "q"} }

// Callers of short jobs ask for the state about when the last task ends. An owner that has not
// heard of the end yet must let the query wait for it: a caller that is told that the job runs
// asks again only after a quarter of a second, half of what its objective allows.
func TestQueryWaitsForTheEndOfItsJob(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o, id := runningJob(c, d)
	o.ExecuteCall(2*time.Second, 0, query("a"))
	c.Assert(d.replies, qt.HasLen, 0)
	o.Cell().HandleReport(2*time.Second, 2*time.Second, "w", cell.Report{Life: 1, Complete: true, Ended: []cell.EndedRun{{Number: 1, Task: id, Run: 1, Outcome: cell.EndedDone}}})
	_, changes, _ := o.Cell().TakeOutput()
	o.AddChanges(changes)
	o.ExecuteCall(2*time.Second, 0, query("a"))
	c.Assert(d.replies, qt.HasLen, 0, qt.Commentf("the end is not recorded yet"))
	_, err := o.BeginCommit(2 * time.Second)
	c.Assert(err, qt.IsNil)
	o.CompleteCommit()
	c.Assert(d.replies[:2], qt.DeepEquals, []intake.Reply{{Outcome: intake.Reported, State: workload.Done}, {Outcome: intake.Reported, State: workload.Done}})
}

// A job that goes on must not keep its callers waiting, nor may one that has to wait for
// capacity.
func TestQueryOfAJobThatGoesOnIsAnswered(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o, _ := runningJob(c, d)
	o.ExecuteCall(2*time.Second, 0, query("a"))
	o.AnswerDueQueries(2*time.Second + 200*time.Millisecond)
	c.Assert(d.replies, qt.HasLen, 0)
	o.AnswerDueQueries(2*time.Second + 250*time.Millisecond)
	c.Assert(d.replies, qt.DeepEquals, []intake.Reply{{Outcome: intake.Reported, State: workload.Running}})
	o.ExecuteCall(3*time.Second, 0, submission("b"))
	o.ExecuteCall(3*time.Second, 0, query("b"))
	c.Assert(d.replies[1:], qt.DeepEquals, []intake.Reply{{Outcome: intake.Reported, State: workload.Queued}})
}
