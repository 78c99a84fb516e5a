package workerstandin

import (
	"encoding/json"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Behaviour is what a payload tells the stand-in about the truth of a task.
type Behaviour struct {
	// RunTime is a duration such as "3s"; empty is as declared.
	RunTime string `json:",omitempty"`
	// Used is nil if the task takes its declared size.
	Used *task.Size `json:",omitempty"`
	// Outcome is empty if the task succeeds.
	Outcome task.Outcome `json:",omitempty"`
	// FailingRuns is how many runs of each task end as failed; only a Runner does so.
	FailingRuns int `json:",omitempty"`
	// Sign makes the body of the answer tell which run made it, as Signed does.
	Sign bool `json:",omitempty"`
}

// SignedBody returns the body that an attempt on a worker makes of a payload that is to
// be signed.
func SignedBody(payload []byte, worker, attempt string) string {
	return string(payload) + "\n" + worker + " " + attempt
}

// Payload returns a payload, or the specification of a job, that tells a behaviour.
func (b Behaviour) Payload() ([]byte, error) {
	return json.Marshal(struct{ Standin Behaviour }{b})
}

// behaviourOf reads a payload; one that says nothing gives the zero value.
func behaviourOf(payload []byte) Behaviour {
	var p struct{ Standin Behaviour }
	if err := json.Unmarshal(payload, &p); err != nil {
		return Behaviour{}
	}
	return p.Standin
}

// actualRun returns how long a started task really lasts, what it takes and how it
// ends.
func actualRun(c worker.Command) (time.Duration, task.Size, task.Outcome) {
	b := behaviourOf(c.Payload)
	length, used, outcome := c.RunTime, c.Size, task.Succeeded
	if d, err := time.ParseDuration(b.RunTime); err == nil {
		length = d
	}
	if b.Used != nil {
		used = *b.Used
		used.Slots, used.Connections = c.Size.Slots, c.Size.Connections
	}
	if b.Outcome != "" {
		outcome = b.Outcome
	}
	return length, used, outcome
}

// bodyOf returns what an attempt that ran to its end answers.
func (a *Agent) bodyOf(id task.AttemptID, payload []byte) []byte {
	if behaviourOf(payload).Sign {
		return []byte(SignedBody(payload, a.id, id.String()))
	}
	return payload
}
