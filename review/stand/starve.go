package main

import (
	"errors"
	"time"
)

// runStarve hands in a service that uses an eighth of each worker and a batch job for one
// more eighth of the room. With trouble a job comes between whose tasks start together and
// which can't be done, as each needs a whole worker.
func runStarve(t *trial) error {
	if err := t.open(3, 8, 8000, catalogue("services", "gangs", "batch")); err != nil {
		return err
	}
	hand := func(queue string, j job) error {
		if !t.cell.submit(queue, j.id, j.document()) {
			return errors.New("a job was not accepted")
		}
		time.Sleep(2 * time.Second)
		return nil
	}
	service := job{
		id: newID(), spec: spec{Lasts: true},
		steps: []map[string]any{{"tasks": 8, "cpu": 1000, "mem_mb": 1000, "estimate": 1000, "daemon": true, "perworker": 1}},
	}
	if err := hand("services", service); err != nil {
		return err
	}
	if t.trouble {
		gang := job{id: newID(), spec: spec{MS: 60_000}, steps: []map[string]any{{"tasks": 8, "cpu": 8000, "mem_mb": 1000, "estimate": 60_000, "gang": true}}}
		if err := hand("gangs", gang); err != nil {
			return err
		}
	}
	batch := job{id: newID(), spec: spec{MS: 90_000}, steps: []map[string]any{{"tasks": 4, "cpu": 1000, "mem_mb": 1000, "estimate": 90_000}}}
	if err := hand("batch", batch); err != nil {
		return err
	}
	t.record.line("end of traffic")
	time.Sleep(finish)
	t.checkRuns("batch", batch.id, 20*time.Second)
	return nil
}

// checkRuns checks for the given time that a job, for which there is room, has something
// running.
func (t *trial) checkRuns(queue, id string, length time.Duration) {
	begun := time.Now()
	for time.Since(begun) < length {
		time.Sleep(100 * time.Millisecond)
		running, _, last := t.record.ofJob(id)
		if idle := min(time.Since(last), time.Since(begun)); running == 0 && idle > stuckTime {
			t.record.fault("LOST: job %s/%s has had nothing running for %.1f s, though it isn't done and there is room for it twice over", queue, id, idle.Seconds())
			break
		}
	}
	t.cell.state(queue, id)
}
