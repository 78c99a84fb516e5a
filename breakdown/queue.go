package breakdown

import "time"

// Queue is the aggregate of the jobs of one queue.
type Queue struct {
	Name string
	Jobs int
	// Ended counts the jobs by their results.
	Ended map[Result]int
	// Runs counts the runs by how they ended.
	Runs map[string]int
	// Times holds, for each phase, the times of the jobs that went through it.
	Times map[Phase][]time.Duration
}

// Percentile returns the time of a phase that the given share of the jobs stay below.
func (q Queue) Percentile(p Phase, share float64) time.Duration {
	return percentile(q.Times[p], share)
}

func newQueue(name string, tracks []*jobTrack) Queue {
	q := Queue{Name: name, Jobs: len(tracks), Ended: map[Result]int{}, Runs: map[string]int{}, Times: map[Phase][]time.Duration{}}
	for _, t := range tracks {
		q.add(t.Job)
	}
	return q
}

func (q *Queue) add(j Job) {
	q.Ended[j.Result]++
	for how, n := range j.Runs {
		q.Runs[how] += n
	}
	for p, spent := range j.Times {
		q.Times[p] = append(q.Times[p], spent)
	}
}
