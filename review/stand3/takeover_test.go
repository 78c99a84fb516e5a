//go:build review

package stand3_test

import (
	"fmt"
	"time"
)

func init() { plays["takeover"] = playTakeover }

const (
	stableWindow   = 4 * time.Second
	lastingAllowed = 6 * time.Second
)

// playTakeover crashes a worker on which a task that lasts is at work, and kills the owner of the
// cell three seconds later.
func playTakeover(r *record, program string, trouble bool) (string, error) {
	const job = "5e771ce000000002"
	c, err := openCell(r, program, 3, 8, []map[string]any{route("services", 2, 1, 2.2, 1200)})
	if err != nil {
		return "", err
	}
	defer c.close()
	if err := c.submit("services", job, behaviour{Sound: 1, Lasts: true}, step(4, 9000, 0, "daemon", true)); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	first := r.history(job)[0]
	for _, w := range c.workers {
		if w.id == first.worker {
			w.crash()
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		h := c.owner()
		if h == nil {
			return "", fmt.Errorf("%w: no owner", errSetup)
		}
		c.kill(h)
	}
	time.Sleep(restartDelay + 100*time.Millisecond)
	disturbed := r.now()
	time.Sleep(15 * time.Second)
	gone, again := time.Duration(0), r.now()
	for _, e := range r.history(first.task) {
		switch e.what {
		case "gone":
			gone = e.at
		case "began":
			if gone > 0 {
				again = min(again, e.at)
			}
		}
	}
	r.add("task away", "task", first.task, "from", gone, "until", again, "disturbed until", disturbed)
	if again-max(gone+lastingAllowed, disturbed+stableWindow) >= idleAllowed {
		return fmt.Sprintf("LOST: task %s, which lasts, has nothing running for %.1f s, the last %.1f s of them %.0f s and more after its last run and %.0f s and more after the last disturbance", first.task, (again - gone).Seconds(), (again - max(gone+lastingAllowed, disturbed+stableWindow)).Seconds(), lastingAllowed.Seconds(), stableWindow.Seconds()), nil
	}
	return "", nil
}
