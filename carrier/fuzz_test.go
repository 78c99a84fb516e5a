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

// FuzzMessages passes arbitrary bytes to both ends of a connection. A message that cannot
// be decoded must cause an error; one that can must not crash the process, and must
// survive an encoding round trip.
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
		w := newCluster(1)
		w.setFleet(200)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var answers carrier.Answers
		if codec.Unmarshal(data, &answers) == nil {
			checkRoundTrip(t, answers, new(carrier.Answers))
			w.relay.HandleAnswers("h0", answers)
			w.relay.HandleAnswers("nobody", answers)
		}
		var calls carrier.Calls
		if codec.Unmarshal(data, &calls) == nil && len(calls.Calls) < 100 {
			checkRoundTrip(t, calls, new(carrier.Calls))
			w.hosts["h0"].HandleCalls(ctx, "owner", calls)
		}
	})
}

// checkRoundTrip checks that a value is the same after encoding and decoding.
func checkRoundTrip[T any](t *testing.T, value T, again *T) {
	t.Helper()
	first, err := codec.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, codec.Unmarshal(first, again), qt.IsNil)
	second, err := codec.Marshal(*again)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(first, second), qt.IsTrue, qt.Commentf("%+v read back as %+v", value, *again))
}
