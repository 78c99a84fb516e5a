//go:build review

package stand3_test

import (
	"fmt"
	"time"
)

func init() { plays["budget"] = playBudget }

// playBudget drops a route while a task of it runs, and brings the route back after the task has
// failed for the last time that is allowed.
func playBudget(r *record, program string, trouble bool) (string, error) {
	const attempts, jobs = 1, 4
	work, other := route("work", attempts, 1, 2, 1200), route("other", 4, 0, 1.5, 500)
	both := []map[string]any{work, other}
	c, err := openCell(r, program, 3, 8, both)
	if err != nil {
		return "", err
	}
	defer c.close()
	id := func(i int) string { return fmt.Sprintf("%016x", 0xb0d9e70000+i) }
	for i := range jobs {
		if err := c.submit("work", id(i), behaviour{MinMS: 6000, MaxMS: 6000, How: "failed"}, step(1, 1000, 6000)); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.setRoutes([]map[string]any{other})
	} else {
		c.setRoutes(both)
	}
	time.Sleep(8 * time.Second)
	c.setRoutes(both)
	time.Sleep(6 * time.Second)
	for i := range jobs {
		c.state("work", id(i))
	}
	return overBudget(r, attempts), nil
}

// overBudget tells of a start after so many runs of its task have ended as failed as its queue
// allows, if these ends were taken note of.
func overBudget(r *record, attempts int) string {
	noted := map[string]int{}
	for _, e := range r.history("") {
		switch {
		case e.what == "taken note of" && e.how == "failed":
			noted[e.task]++
		case e.what == "began" && noted[e.task] >= attempts:
			return fmt.Sprintf("BUDGET: task %s starts its run %d after %d of its runs have ended as failed and were taken note of; its queue allows %d", e.task, e.run, noted[e.task], attempts)
		}
	}
	return ""
}

// step returns a step of a job.
func step(tasks, cpu, estimateMS int, more ...any) map[string]any {
	s := map[string]any{"replicas": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": estimateMS}
	for i := 0; i+1 < len(more); i += 2 {
		s[more[i].(string)] = more[i+1]
	}
	return s
}
