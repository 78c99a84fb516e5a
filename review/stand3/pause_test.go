//go:build review

package stand3_test

import (
	"fmt"
	"time"
)

func init() { plays["pause"] = playPause }

const (
	finish      = 14 * time.Second
	idleAllowed = 3 * time.Second
)

// playPause hands in a job that lasts, of small tasks that fail soon after each start, and then a
// sound gang for which there is capacity twice over all the time.
func playPause(r *record, program string, trouble bool) (string, error) {
	const workers, gangTasks, gangProcessors, lastingTasks, lastingProcessors = 12, 5, 10000, 12, 250
	c, err := openCell(r, program, 3, workers, []map[string]any{route("services", 2, 1, 2.2, 1200), route("gangs", 2, 0, 1.5, 500)})
	if err != nil {
		return "", err
	}
	defer c.close()
	lasting := behaviour{MinMS: 100, MaxMS: 300, How: "failed", Lasts: true}
	if !trouble {
		lasting.Sound = 1
	}
	if err := c.submit("services", "5e771ce000000001", lasting, step(lastingTasks, lastingProcessors, 0, "daemon", true)); err != nil {
		return "", err
	}
	time.Sleep(15 * time.Second)
	const gang = "9a29000000000001"
	if err := c.submit("gangs", gang, behaviour{MinMS: 2000, MaxMS: 2000, How: "done"}, step(gangTasks, gangProcessors, 2000, "gang", true)); err != nil {
		return "", err
	}
	trafficEnd := r.now()
	r.add("end of the traffic")
	time.Sleep(finish)
	asked := r.now()
	c.state("gangs", gang)
	time.Sleep(45 * time.Second)
	c.state("gangs", gang)
	if len(r.history(gang)) > 0 && r.history(gang)[0].at < asked+idleAllowed {
		return "", nil
	}
	for _, e := range r.history(gang) {
		if e.what == "began" {
			return fmt.Sprintf("LOST: nothing of gang %s runs until %.1f s after the end of the traffic, with at most %d of %d thousandths of a core in use", gang, (e.at - trafficEnd).Seconds(), lastingTasks*lastingProcessors, workers*16000), nil
		}
	}
	return fmt.Sprintf("LOST: nothing of gang %s has run %.1f s after the end of the traffic, with at most %d of %d thousandths of a core in use", gang, (r.now() - trafficEnd).Seconds(), lastingTasks*lastingProcessors, workers*16000), nil
}
