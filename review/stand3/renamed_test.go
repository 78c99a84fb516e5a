//go:build review

package stand3_test

import (
	"fmt"
	"time"
)

func init() { plays["renamed"] = playRenamed }

// playRenamed replaces a route by another one of the same host, path prefix and service while jobs of
// it run.
func playRenamed(r *record, program string, trouble bool) (string, error) {
	const jobs = 4
	routeOf := func(name string) []map[string]any {
		work := route("work", 2, 1, 2, 1200)
		work["name"] = name
		return []map[string]any{work, route("other", 4, 0, 1.5, 500)}
	}
	c, err := openCell(r, program, 3, 8, routeOf("r-1"))
	if err != nil {
		return "", err
	}
	defer c.close()
	id := func(i int) string { return fmt.Sprintf("%016x", 0x5e9a3e0000+i) }
	for i := range jobs {
		if err := c.submit("work", id(i), behaviour{MinMS: 4000, MaxMS: 4000, How: "done"}, step(1, 1000, 4000), step(1, 1000, 4000, "after", []int{0})); err != nil {
			return "", err
		}
	}
	r.add("end of the traffic")
	end := r.now()
	time.Sleep(2 * time.Second)
	if trouble {
		c.setRoutes(routeOf("r-2"))
	} else {
		c.setRoutes(routeOf("r-1"))
	}
	time.Sleep(38 * time.Second)
	for i := range jobs {
		c.state("work", id(i))
	}
	for i := range jobs {
		began, idleSince := false, end+finish
		for _, e := range r.history(id(i)) {
			began = began || e.what == "began" && e.task == id(i)+".0.1.0"
			if e.what == "ended" {
				idleSince = max(idleSince, e.at)
			}
		}
		if idle := r.now() - idleSince; !began && idle >= idleAllowed {
			return fmt.Sprintf("LOST: the first step of job %s is done, and nothing of the second one has run for %.1f s, counted from %.0f s after the end of the traffic, with all workers idle", id(i), idle.Seconds(), finish.Seconds()), nil
		}
	}
	return "", nil
}
