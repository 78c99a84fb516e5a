package scenario_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// Sizes of payloads, in bytes. One payload in largeOneIn is larger than a link or a
// worker's agent forwards in one piece, so that a truncated one is detected.
const (
	smallPayload = 512
	largePayload = 48 << 10
	largeOneIn   = 16
)

// payload is the input of the tasks of one piece of work. It is unique to the ID.
type payload struct {
	Standin workerstandin.Behaviour
	ID      string
	Fill    string
}

// payloadOf returns the payload of an ID. Each task answers with a signed copy of it.
func payloadOf(id string) ([]byte, error) {
	random := rand.New(rand.NewPCG(loadSeed, xxhash.Sum64String(id)))
	size := 1 + random.IntN(smallPayload)
	if random.IntN(largeOneIn) == 0 {
		size = largePayload
	}
	fill := make([]byte, size/2)
	for i := range fill {
		fill[i] = byte(random.Uint32())
	}
	return json.Marshal(payload{Standin: workerstandin.Behaviour{Sign: true}, ID: id, Fill: hex.EncodeToString(fill)})
}

// checkBodies checks that the answer of a call has a body for each task, and that
// each body is the call's payload signed by a run on the worker that it names.
func (h *history) checkBodies(a *call) {
	if a.answer.ID != a.id || len(a.answer.Bodies) != a.tasks || len(a.answer.Workers) != a.tasks {
		h.addViolation("%s was answered as %s with %d of %d bodies and %d workers",
			a.id, a.answer.ID, len(a.answer.Bodies), a.tasks, len(a.answer.Workers))
		return
	}
	sent, err := payloadOf(a.id)
	if err != nil {
		h.addViolation("%s: %v", a.id, err)
		return
	}
	for i, body := range a.answer.Bodies {
		if !h.isSignedByRun(a, i, sent, string(body)) {
			h.addViolation("%s: the body of task %d has %d bytes and is not signed by a run on %s of its %d-byte payload: %s",
				a.id, i, len(body), a.answer.Workers[i], len(sent), excerpt(body))
		}
	}
}

// isSignedByRun reports whether a body is the sent payload, signed by a run of the
// task on the worker that the answer names.
func (h *history) isSignedByRun(a *call, i int, sent []byte, body string) bool {
	for _, r := range h.byTask[fmt.Sprintf("%s/%s/%d", a.team, a.id, i)] {
		if a.answer.Workers[i] == r.worker && body == workerstandin.SignedBody(sent, r.worker, r.attempt) {
			return true
		}
	}
	return false
}

// excerpt returns the start and end of a body, which identify its request and run.
func excerpt(body []byte) string {
	const maxEnd = 120
	if len(body) <= 2*maxEnd {
		return string(body)
	}
	return fmt.Sprintf("%s ... %s", body[:maxEnd], body[len(body)-maxEnd:])
}
