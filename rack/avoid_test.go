package rack_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestAvoidedWorkerIsNotAFallback guards against a reservation on an avoided worker when
// the preferred one is full and the avoided one is empty.
func TestAvoidedWorkerIsNotAFallback(t *testing.T) {
	one := task.Size{Processors: 1000}
	r := rack.New("r1", "centro", "centro-1", 1)
	r.SetWorker("w1", rack.Up, one)
	r.SetWorker("w2", rack.Up, one)
	qt.Assert(t, r.Reserve(task.AttemptID{Number: 1}, one, "w1", "w2").Worker, qt.Equals, "w1")
	qt.Assert(t, r.Reserve(task.AttemptID{Number: 2}, one, "w1", "w2").Reason, qt.Equals, rack.ReasonNoCapacity)
	qt.Assert(t, r.Reserve(task.AttemptID{Number: 3}, one, "w1").Worker, qt.Equals, "w2")
}
