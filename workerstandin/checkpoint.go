package workerstandin

import (
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Checkpoints stores how long each task has run. Several agents may share it. The
// zero value is empty.
type Checkpoints struct {
	mu     sync.Mutex
	ranFor map[taskID]time.Duration
}

// taskID identifies a task regardless of its attempt.
type taskID struct {
	work task.Key
	task int
}

func taskOf(a task.AttemptID) taskID { return taskID{work: a.Work, task: a.Task} }

// save records the total time that a task has run.
func (c *Checkpoints) save(a task.AttemptID, ran time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranFor == nil {
		c.ranFor = map[taskID]time.Duration{}
	}
	c.ranFor[taskOf(a)] = ran
}

// load returns how long a task had run at its last checkpoint.
func (c *Checkpoints) load(a task.AttemptID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranFor[taskOf(a)]
}

// drop removes the checkpoint of a completed task.
func (c *Checkpoints) drop(a task.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ranFor, taskOf(a))
}
