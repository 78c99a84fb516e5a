package workerstandin

import (
	"encoding/json"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Behaviour overrides the declared behaviour of a task on the stand-in. It is part
// of the payload.
type Behaviour struct {
	// RunTime is the actual run time, such as "3s"; empty means as declared.
	RunTime string `json:",omitempty"`
	// Used is the actual usage; nil means the declared size.
	Used *task.Size `json:",omitempty"`
	// Outcome is the outcome of a completed run; empty means Succeeded.
	Outcome task.Outcome `json:",omitempty"`
	// FailingRuns is the number of initial runs of each task that fail. Only a Runner
	// supports it.
	FailingRuns int `json:",omitempty"`
	// Sign appends the worker and the attempt to the body, as SignedBody does.
	Sign bool `json:",omitempty"`
}

// SignedBody returns the body that an attempt on a worker returns for a payload with
// Behaviour.Sign.
func SignedBody(payload []byte, worker, attempt string) string {
	return string(payload) + "\n" + worker + " " + attempt
}

// Payload returns b encoded as a payload or as the specification of a job.
func (b Behaviour) Payload() ([]byte, error) {
	return json.Marshal(struct{ Standin Behaviour }{b})
}

// behaviourOf decodes the behaviour in a payload. It returns the zero value if there
// is none.
func behaviourOf(payload []byte) Behaviour {
	var p struct{ Standin Behaviour }
	if err := json.Unmarshal(payload, &p); err != nil {
		return Behaviour{}
	}
	return p.Standin
}

// actualRun returns the actual run time, usage and outcome of a started task.
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

// bodyOf returns the body of an attempt that has completed.
func (a *Agent) bodyOf(id task.AttemptID, payload []byte) []byte {
	if behaviourOf(payload).Sign {
		return []byte(SignedBody(payload, a.id, id.String()))
	}
	return payload
}
