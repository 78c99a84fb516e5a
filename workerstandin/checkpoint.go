package workerstandin

import (
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Checkpoints keeps how long each task has run, for agents that share it. The
// zero value is empty.
type Checkpoints struct {
	mu     sync.Mutex
	ranFor map[taskID]time.Duration
}

// taskID names a task whatever its attempt.
type taskID struct {
	work task.Key
	task int
}

func taskOf(a task.AttemptID) taskID { return taskID{work: a.Work, task: a.Task} }

// save notes that a task has run for a time in all.
func (c *Checkpoints) save(a task.AttemptID, ran time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranFor == nil {
		c.ranFor = map[taskID]time.Duration{}
	}
	c.ranFor[taskOf(a)] = ran
}

// load returns for how long a task has run up to its last checkpoint.
func (c *Checkpoints) load(a task.AttemptID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranFor[taskOf(a)]
}

// drop forgets a task that has come to its end.
func (c *Checkpoints) drop(a task.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ranFor, taskOf(a))
}
