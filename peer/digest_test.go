package peer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

func TestDigestChangesRebuildTheWholeDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rack.New("r1", "centro", "centro-1", 3)
		var sent, received rack.Digest
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("w%d", rapid.IntRange(1, 8).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r.SetWorker(id, rack.Up, task.Size{Processors: 8000, Memory: 1 << 30})
			case 1:
				r.SetState(id, rack.Leaving)
			case 2:
				r.RemoveWorker(id)
			case 3:
				number := rapid.IntRange(1, 100).Draw(t, "number")
				r.Reserve(task.AttemptID{Number: number}, task.Size{Processors: 500}, id)
			}
			if r.Sequence() == sent.Sequence || rapid.Bool().Draw(t, "wait") {
				continue
			}
			change := peer.NewDigestChange(sent, r.Digest())
			data, err := codec.Marshal(change)
			if err != nil {
				t.Fatal(err)
			}
			var decoded peer.DigestChange
			if err := codec.Unmarshal(data, &decoded); err != nil {
				t.Fatal(err)
			}
			sent = r.Digest()
			next, ok := decoded.Apply(received)
			if !ok || fmt.Sprint(next) != fmt.Sprint(sent) {
				t.Fatalf("got %v, want %v", next, sent)
			}
			received = next
		}
	})
}

func TestDigestChangeAfterGapIsRejected(t *testing.T) {
	c := qt.New(t)
	r := rack.New("r1", "centro", "centro-1", 3)
	r.SetWorker("w1", rack.Up, task.Size{Processors: 8000})
	first := r.Digest()
	r.SetState("w1", rack.Leaving)
	second := r.Digest()
	r.SetState("w1", rack.Up)
	_, ok := peer.NewDigestChange(second, r.Digest()).Apply(first)
	c.Assert(ok, qt.IsFalse)
}

// TestDigestChangeOmitsUnchangedWorkers checks that a change of one worker of eight does
// not include the other seven.
func TestDigestChangeOmitsUnchangedWorkers(t *testing.T) {
	c := qt.New(t)
	r := rack.New("centro-r1", "centro", "centro-1", 3)
	capacity := task.Size{Processors: 16000, Memory: 32 << 30, Slots: 8, Connections: 64}
	for i := range 8 {
		r.SetWorker(fmt.Sprintf("worker-%d", i), rack.Up, capacity)
	}
	before := r.Digest()
	r.Reserve(task.AttemptID{Number: 1}, task.Size{Processors: 1000, Memory: 1 << 30, Connections: 1}, "worker-3")
	whole, err := codec.Marshal(r.Digest())
	c.Assert(err, qt.IsNil)
	change, err := codec.Marshal(peer.NewDigestChange(before, r.Digest()))
	c.Assert(err, qt.IsNil)
	c.Logf("whole digest %d bytes, change %d bytes", len(whole), len(change))
	c.Assert(len(change) < 64, qt.IsTrue, qt.Commentf("%d bytes", len(change)))
}
