package scenario_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// Sizes of payloads, in bytes. One in largeShare is larger than what a link or a
// worker's agent passes on in one piece, so that one that is cut shows.
const (
	smallPayload = 512
	largePayload = 48 << 10
	largeOneIn   = 16
)

// payload is what a caller of the load hands to its tasks. Each ID has its own.
type payload struct {
	Standin workerstandin.Behaviour
	ID      string
	Fill    string
}

// payloadOf returns the payload of an ID, of which each task answers with a copy
// that it signs.
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

// checkBodies holds the answer of a call against its own payload, and each body
// against the run that made it.
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
			h.addViolation("%s was answered for task %d with %d bytes that no run on %s made of its %d: %s",
				a.id, i, len(body), a.answer.Workers[i], len(sent), excerpt(body))
		}
	}
}

// isSignedByRun reports whether a body is the signed payload of a run of a task on the
// worker that its answer names.
func (h *history) isSignedByRun(a *call, i int, sent []byte, body string) bool {
	for _, r := range h.byTask[fmt.Sprintf("%s/%s/%d", a.team, a.id, i)] {
		if a.answer.Workers[i] == r.worker && body == workerstandin.SignedBody(sent, r.worker, r.attempt) {
			return true
		}
	}
	return false
}

// excerpt returns the ends of a body, which tell whose it is.
func excerpt(body []byte) string {
	const maxEnd = 120
	if len(body) <= 2*maxEnd {
		return string(body)
	}
	return fmt.Sprintf("%s ... %s", body[:maxEnd], body[len(body)-maxEnd:])
}
