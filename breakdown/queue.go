package breakdown

import "time"

// Queue is the sum of the jobs of one queue.
type Queue struct {
	Name string
	Jobs int
	// Ended counts the jobs by what became of them.
	Ended map[Result]int
	// Runs counts the runs by how they ended.
	Runs map[string]int
	// Times holds a time for each job that has gone through a phase.
	Times map[Phase][]time.Duration
}

// Percentile returns the time of a phase below which a share of the jobs are.
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
