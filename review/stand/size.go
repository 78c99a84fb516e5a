package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// finish is finish_s of the pages.
	finish = 14 * time.Second
	// stuckTime is how long a job may have nothing running while the turn of a task has come.
	stuckTime = 3 * time.Second
)

// accepted is a job that a client has handed in.
type accepted struct {
	queue, id string
	tasks     int
}

// runSize hands in a job of 60 tasks that is due 70 times, beside small jobs. With trouble
// its tasks save checkpoints.
func runSize(t *trial) error {
	if err := t.open(3, 8, 16000, catalogue("nightly", "lookup")); err != nil {
		return err
	}
	nightly := job{
		id: newID(), spec: spec{MS: 1200, Checkpoints: t.trouble}, first: time.Now().Add(2 * time.Second).UnixMilli(), interval: 650, repeats: 70,
		steps: []map[string]any{{"tasks": 60, "cpu": 200, "mem_mb": 64, "estimate": 1200, "checkpoints": t.trouble}},
	}
	var jobs []accepted
	if !t.cell.submit("nightly", nightly.id, nightly.document()) {
		return errors.New("the job was not accepted")
	}
	jobs = append(jobs, accepted{"nightly", nightly.id, 60 * 70})
	for end := time.Now().Add(62 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		small := job{id: newID(), spec: spec{MS: 300}, steps: []map[string]any{{"tasks": 2, "cpu": 500, "mem_mb": 64, "estimate": 300}}}
		status, answer := t.cell.call(len(jobs)%3, "POST", "/lookup/"+small.id, small.document())
		t.record.line("client POST lookup/%s: %d %s", small.id, status, answer)
		if status/100 == 2 {
			jobs = append(jobs, accepted{"lookup", small.id, 2})
		}
	}
	t.record.line("end of traffic, %d jobs accepted", len(jobs))
	time.Sleep(finish)
	t.checkEnds(jobs)
	return nil
}

// checkEnds checks LOST after finish_s: each job is known, and none that isn't done has
// nothing running.
func (t *trial) checkEnds(jobs []accepted) {
	unanswered, stuck, done := 0, 0, 0
	for _, j := range jobs {
		running, tasksDone, last := t.record.ofJob(j.id)
		idle := time.Since(last)
		if tasksDone == j.tasks {
			done++
			continue
		}
		if running == 0 && idle > stuckTime {
			stuck++
			if stuck <= 3 {
				since := "has run at all"
				if !last.IsZero() {
					since = fmt.Sprintf("has run for %.1f s", idle.Seconds())
				}
				t.record.fault("LOST: job %s/%s has %d of %d tasks done, and nothing %s though nearly all of the service is free", j.queue, j.id, tasksDone, j.tasks, since)
			}
		}
	}
	for _, j := range jobs {
		if unanswered >= 3 {
			break
		}
		if status, answer := t.cell.state(j.queue, j.id); status != 200 {
			unanswered++
			t.record.fault("LOST: GET for accepted job %s/%s: %d %s", j.queue, j.id, status, answer)
		}
	}
	t.record.line("of %d accepted jobs %d have all tasks done, %d are stuck", len(jobs), done, stuck)
}
