package carrier_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
)

// FuzzMessages hands any bytes to both ends of the way to a worker: a message that can't be
// read is an error, and one that can ends no process.
func FuzzMessages(f *testing.F) {
	for _, value := range []any{
		carrier.Calls{Fence: 1, Calls: []carrier.Call{{Number: 1, Verb: carrier.Start, Worker: "w1", Task: taskID, Run: 1}, {Number: 2, Verb: 99}}},
		carrier.Answers{Answers: []carrier.Answer{{Number: 1, Order: cell.Accepted}, {Number: 2, Lists: &carrier.Lists{Clock: 1}}}},
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
			w.relay.Answered("h0", answers)
			w.relay.Answered("nobody", answers)
		}
		var calls carrier.Calls
		if codec.Unmarshal(data, &calls) == nil && len(calls.Calls) < 100 {
			w.hosts["h0"].Take(ctx, "owner", calls)
		}
	})
}
