package main

import "time"

// runRoute restarts workers as another kind, under the ID and at the address that they had,
// while tasks wait that require the kind that they were.
func runRoute(t *trial) error {
	if err := t.open(3, 8, 4000, catalogue("labelled"), "a", "b"); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			j := job{
				id: newID(), spec: spec{MS: 1500, Label: "a"},
				steps: []map[string]any{{"tasks": 30, "cpu": 1000, "mem_mb": 64, "estimate": 1500, "requires": "a"}},
			}
			t.cell.submit("labelled", j.id, j.document())
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Second):
			}
		}
	}()
	time.Sleep(3 * time.Second)
	for i := range 10 {
		n := 2 * (i % 4)
		for _, kind := range []string{"b", "a"} {
			w := t.cell.workers[n]
			if t.trouble {
				w.crash("crash")
				time.Sleep(500 * time.Millisecond)
				w.boot(kind)
				t.cell.announce(n)
			}
			time.Sleep(2500 * time.Millisecond)
		}
	}
	return nil
}
