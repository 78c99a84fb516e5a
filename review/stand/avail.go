package main

import (
	"errors"
	"time"
)

// runAvail starts a service of four tasks of which one may be missed. With trouble the
// operator asks for a wave of upkeep of four machines, two at once.
func runAvail(t *trial) error {
	if err := t.open(3, 8, 8000, catalogue("services")); err != nil {
		return err
	}
	service := job{
		id: newID(), spec: spec{Lasts: true},
		steps: []map[string]any{{"tasks": 4, "cpu": 4000, "mem_mb": 1000, "estimate": 1000, "daemon": true, "perworker": 1, "budget": 1}},
	}
	if !t.cell.submit("services", service.id, service.document()) {
		return errors.New("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	t.cell.machines.mayMiss = 1
	var wanted []string
	for _, w := range t.cell.workers {
		if tasks := w.atWork(); len(tasks) > 0 {
			t.record.line("%s on %s serves %v", w.id, w.machine, tasks)
			wanted = append(wanted, w.machine)
		}
	}
	if t.trouble {
		key, value := wave(1, wanted, 20, 2)
		t.record.line("operator writes op/%s: %s", key, value)
		t.cell.rows.Put("op", key, value)
	}
	time.Sleep(25 * time.Second)
	t.record.line("status/wave/1: %s", t.cell.rows.Value("status", "wave/1"))
	t.cell.state("services", service.id)
	return nil
}
