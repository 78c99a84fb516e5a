package scenario_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/vanillaquay/vanillaquay/task"
)

// exchange is one request of a caller with its answer.
type exchange struct {
	id             string
	client         int
	sent, answered time.Time
	state          task.State
	worker, body   string
}

// outcome is the state of the register that models a request ID: what ran, or the
// zero value if nothing did.
type outcome struct{ worker, body string }

// register models a request ID as a write-once register. After an answer Ran, every
// later one must be Ran with the same result; an unknown outcome constrains nothing.
var register = porcupine.Model{
	Partition: partitionByID,
	Init:      func() any { return outcome{} },
	Step: func(state, _, output any) (bool, any) {
		now, e := state.(outcome), output.(exchange)
		switch e.state {
		case task.NotRun:
			return now == outcome{}, now
		case task.Ran:
			ran := outcome{e.worker, e.body}
			return now == outcome{} || now == ran, ran
		default:
			return true, now
		}
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprint(output) },
}

func partitionByID(history []porcupine.Operation) [][]porcupine.Operation {
	byID := map[string][]porcupine.Operation{}
	for _, o := range history {
		id := o.Output.(exchange).id
		byID[id] = append(byID[id], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byID {
		parts = append(parts, part)
	}
	return parts
}

// checkRegister finds request IDs whose answers contradict one another.
func (h *history) checkRegister(exchanges []exchange) {
	byID := map[string][]porcupine.Operation{}
	for _, e := range exchanges {
		byID[e.id] = append(byID[e.id], porcupine.Operation{
			ClientId: e.client, Call: e.sent.UnixNano(), Return: e.answered.UnixNano(), Output: e,
		})
	}
	for id, operations := range byID {
		if !porcupine.CheckOperations(register, operations) {
			slices.SortFunc(operations, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
			h.addViolation("the answers to %s contradict one another: %v", id, operations)
		}
	}
}
