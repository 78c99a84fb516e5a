package cell

import "github.com/vanillaquay/vanillaquay/workload"

// The memory of what a job consists of in an owner, with its records, in bytes, without garbage.
const (
	jobBytes  = 2 << 10
	stepBytes = 1 << 10
	taskBytes = 128
)

// JobBytes returns roughly how much memory a job takes in its owner once all of its occurrences are
// due, in bytes.
func JobBytes(w workload.Job) int64 {
	occurrence := 0
	for _, s := range w.Steps {
		occurrence += stepBytes + s.TaskCount*taskBytes
	}
	return jobBytes + w.Bytes() + int64(w.Occurrences())*int64(occurrence)
}

// JobBytes returns roughly how much memory the jobs take that are not final or still have open runs,
// in bytes.
func (c *Cell) JobBytes() int64 { return c.jobBytes }

func (c *Cell) addJob(j *job) {
	c.jobs[j.ID] = j
	c.jobBytes += JobBytes(j.Job)
}

func (c *Cell) removeJob(j *job) {
	delete(c.jobs, j.ID)
	c.jobBytes -= JobBytes(j.Job)
}
