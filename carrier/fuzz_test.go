package carrier_test

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
)

// FuzzMessages hands any bytes to both ends of the way to a worker: a message that can't be
// read is an error, and one that can ends no process and reads back alike once it is written.
func FuzzMessages(f *testing.F) {
	for _, value := range []any{
		carrier.Calls{Fence: 1, Calls: []carrier.Call{{Number: 1, Verb: carrier.Start, Worker: "w1", Task: taskID, Run: 1}, {Number: 2, Verb: 99}}},
		carrier.Answers{Answers: []carrier.Answer{{Number: 1, Order: cell.Accepted}, {Number: 2, Lists: &carrier.Lists{Clock: 1}}}},
		carrier.Calls{Fence: -1, Calls: []carrier.Call{{Verb: carrier.Hold, Wait: -1, Until: math.MaxInt64, Seen: -1}, {Verb: carrier.Pace, Percent: math.MinInt, Run: -1}}},
		carrier.Answers{Fence: math.MinInt64, Answers: []carrier.Answer{{Order: "Odd", Lists: &carrier.Lists{Clock: math.MinInt64, Life: -1}}}},
	} {
		data, err := codec.Marshal(value)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		w := newWorld(1)
		w.setFleet(200)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var answers carrier.Answers
		if codec.Unmarshal(data, &answers) == nil {
			readsBack(t, answers, new(carrier.Answers))
			w.relay.HandleAnswers("h0", answers)
			w.relay.HandleAnswers("nobody", answers)
		}
		var calls carrier.Calls
		if codec.Unmarshal(data, &calls) == nil && len(calls.Calls) < 100 {
			readsBack(t, calls, new(carrier.Calls))
			w.hosts["h0"].HandleCalls(ctx, "owner", calls)
		}
	})
}

// readsBack checks that a value is written as it is read.
func readsBack[T any](t *testing.T, value T, again *T) {
	t.Helper()
	first, err := codec.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, codec.Unmarshal(first, again), qt.IsNil)
	second, err := codec.Marshal(*again)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(first, second), qt.IsTrue, qt.Commentf("%+v read back as %+v", value, *again))
}
