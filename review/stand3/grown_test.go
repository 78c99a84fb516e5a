//go:build review

package stand3_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { plays["grown"] = playGrown }

// playGrown lets the manifest grow by many routes, ten times, then kills all hosts and starts them
// again.
func playGrown(r *record, program string, trouble bool) (string, error) {
	const (
		jobs, growths, routesMore = 4, 10, 1850
		growthInterval            = 3 * time.Second
		downTime                  = time.Second
		asking                    = 20 * time.Second
	)
	routes := []map[string]any{route("work", 2, 1, 2.2, 1200)}
	c, err := openCell(r, program, 3, 8, routes)
	if err != nil {
		return "", err
	}
	defer c.close()
	id := func(i int) string { return fmt.Sprintf("%016x", 0x9e0e1a0000+i) }
	for i := range jobs {
		if err := c.submit("work", id(i), behaviour{MinMS: 90000, MaxMS: 90000, How: "done"}, step(1, 1000, 90000)); err != nil {
			return "", err
		}
	}
	for range growths {
		if trouble {
			routes = append(routes, moreRoutes(len(routes), routesMore)...)
		}
		c.setRoutes(routes)
		time.Sleep(growthInterval)
	}
	for i := range jobs {
		c.state("work", id(i))
	}
	r.add("all hosts are killed")
	for _, h := range c.hosts {
		<-h.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, h := range c.hosts {
		if err := h.start(c.program); err != nil {
			return "", fmt.Errorf("%w: %w", errSetup, err)
		}
	}
	r.add("all hosts start again")
	time.Sleep(finish)
	answered := 0
	for begun := time.Now(); time.Since(begun) < asking; time.Sleep(time.Second) {
		for i := range jobs {
			if status, _ := c.state("work", id(i)); status == http.StatusOK || status == http.StatusGone {
				answered++
			}
		}
	}
	if answered > 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: from %.0f s to %.0f s after all hosts have started again, no call on an accepted job gets an answer", finish.Seconds(), (finish + asking).Seconds()), nil
}

// moreRoutes returns routes as those that `fleetbench wire` prints, numbered from first on.
func moreRoutes(first, count int) []map[string]any {
	var list []map[string]any
	for i := range count {
		name := fmt.Sprintf("%07x", 0x3a00000+first+i)
		each := route(name, 2, 1, 2.2, 1200)
		each["name"], each["host"] = "r-"+name, "nony24.example"
		each["advice"] = map[string]any{"decide_ms": 520.0, "each_ms": 7.4, "valid_ms": 2000}
		list = append(list, each)
	}
	return list
}
