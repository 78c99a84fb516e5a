package decision

import "github.com/vanillaquay/vanillaquay/task"

// The memory of a job and of each of its tasks without its payload, in bytes.
const (
	jobBytes  = 2 << 10
	taskBytes = 512
)

// memoryOf returns roughly how much memory work takes until it has ended, in bytes.
func memoryOf(w task.Work) int64 {
	return int64(jobBytes + taskBytes*w.Tasks + len(w.Payload))
}

// exceedsMemory reports whether there is too little memory for new work. As with the limit of the
// queue, the least urgent work is refused first. Work that is alone is accepted.
func (c *Core) exceedsMemory(w task.Work, k class) bool {
	limit := c.options.MemoryLimit / 100 * int64(queuePercent[k])
	return c.options.MemoryLimit > 0 && c.unfinishedBytes > 0 && c.unfinishedBytes+memoryOf(w) > limit
}

// markFinished notes that a job has ended or is removed. Further calls have no effect.
func (c *Core) markFinished(j *job) {
	c.unfinishedBytes -= j.heldBytes
	j.heldBytes = 0
}
