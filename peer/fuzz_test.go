package peer_test

import (
	"bytes"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// FuzzMessages decodes arbitrary bytes as the message of each kind. Each must yield a
// value or an error, and no panic.
func FuzzMessages(f *testing.F) {
	id := task.AttemptID{Work: task.Key{Team: "domes", ID: "x"}, Number: 1}
	for _, value := range []any{
		peer.Call{Number: 1, Verb: peer.Submit, Work: task.Work{Team: "domes", ID: "x"}},
		peer.Answer{Number: 1, Answer: task.Answer{Team: "domes", ID: "x", State: task.Ran}},
		peer.Command{Partition: "p", Command: decision.Command{Verb: decision.Place, Attempt: id}},
		decision.Report{Status: decision.Placed, Attempt: id},
		decision.Usage{Attempt: id, Used: task.Size{Processors: 1}},
		decision.Summary{Sequence: 1, Needs: []decision.Need{{Team: "domes", Class: 5}}, Barred: []string{"w1"}},
		peer.Digests{Changes: []peer.DigestChange{{Rack: "r1", Workers: []peer.WorkerChange{{ID: "w1"}}}}},
	} {
		data, err := codec.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, value := range []any{
		peer.Configuration{Row: []byte(`{}`)}, peer.Applied{Version: 1}, peer.DigestWanted{Racks: []string{"r1"}},
		peer.Epochs{Number: 1, Racks: map[string]uint64{"r1": 1}}, peer.EpochsKnown{Number: 1, Higher: map[string]uint64{"r1": 2}},
	} {
		data, err := codec.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, handle := range []message.NoPublishHandlerFunc{
			roundTripHandler[peer.Call](t), roundTripHandler[peer.Answer](t), roundTripHandler[peer.Command](t), roundTripHandler[decision.Report](t),
			roundTripHandler[decision.Usage](t), roundTripHandler[decision.Summary](t), roundTripHandler[peer.DigestWanted](t), roundTripHandler[peer.OwnershipChanged](t),
			roundTripHandler[peer.Configuration](t), roundTripHandler[peer.Applied](t), roundTripHandler[peer.Epochs](t), roundTripHandler[peer.EpochsKnown](t),
			roundTripHandler[peer.Digests](t), peer.NewHandler(func(_ string, d peer.Digests) { applyAll(t, d) }),
		} {
			// Most input is invalid and yields an error, which is fine.
			_ = handle(message.NewMessage("", data))
		}
	})
}

// roundTripHandler returns a handler that checks that a decoded message encodes and
// decodes to the same bytes.
func roundTripHandler[T any](t *testing.T) message.NoPublishHandlerFunc {
	return peer.NewHandler(func(_ string, value T) {
		first, err := codec.Marshal(value)
		if err != nil {
			t.Fatalf("%+v: %v", value, err)
		}
		var again T
		if err := codec.Unmarshal(first, &again); err != nil {
			t.Fatalf("%+v: %v", value, err)
		}
		if second, err := codec.Marshal(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%+v read back as %+v, %v", value, again, err)
		}
	})
}

// applyAll applies changes in order, as a receiver does.
func applyAll(t *testing.T, d peer.Digests) {
	known := map[string]rack.Digest{}
	for _, c := range d.Changes {
		if next, ok := c.Apply(known[c.Rack]); ok {
			known[c.Rack] = next
		}
		if c.BaseSequence != 0 && known[c.Rack].Sequence != c.Sequence && known[c.Rack].Epoch == c.Epoch && known[c.Rack].Sequence == c.BaseSequence {
			t.Fatalf("change %+v was not applied to %+v", c, known[c.Rack])
		}
	}
}
