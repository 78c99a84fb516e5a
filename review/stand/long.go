package main

import (
	"errors"
	"time"
)

// runLong hands in a job of long tasks, which could run all the time: nothing else uses the
// workers. With trouble a task works for 420 s, without it for 100 s.
func runLong(t *trial) error {
	if err := t.open(3, 8, 8000, catalogue("batch")); err != nil {
		return err
	}
	length := int64(100_000)
	if t.trouble {
		length = 420_000
	}
	j := job{id: newID(), spec: spec{MS: length}, steps: []map[string]any{{"tasks": 8, "cpu": 3000, "mem_mb": 1000, "estimate": length}}}
	if !t.cell.submit("batch", j.id, j.document()) {
		return errors.New("the job was not accepted")
	}
	t.record.line("end of traffic")
	time.Sleep(finish)
	t.checkRuns("batch", j.id, 60*time.Second)
	return nil
}
