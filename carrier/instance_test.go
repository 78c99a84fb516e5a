package carrier_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/platform"
)

// otherLifeWorkers are workers that have life 9. Their embedded fake carries out calls.
type otherLifeWorkers struct{ *fakeWorkers }

func (f otherLifeWorkers) Start(ctx context.Context, s platform.StartOrder) cell.Answer {
	if s.Life != 0 && s.Life != 9 {
		return cell.OtherLife
	}
	return f.fakeWorkers.Start(ctx, s)
}

func (f otherLifeWorkers) Hold(ctx context.Context, i platform.Instance, fence, acked, until int64, wait time.Duration) (platform.HoldResponse, error) {
	if i.Life != 0 && i.Life != 9 {
		return platform.HoldResponse{}, cell.OtherLifeError{Life: 9}
	}
	return f.fakeWorkers.Hold(ctx, i, fence, acked, until, wait)
}

// newOtherLifeCluster returns a cluster whose carriers call workers of life 9.
func newOtherLifeCluster() *cluster {
	w := newCluster(1)
	w.hosts["h0"] = carrier.NewCarrier(otherLifeWorkers{w.remote["h0"]}, func() int64 { return 0 }, func(_ string, a carrier.Answers) { w.relay.HandleAnswers("h0", a) })
	w.setFleet(200)
	return w
}

// A carrier must not carry out a call for an earlier life of a worker, and the owner must learn
// which life the worker has (TWICE).
func TestCarriersTellLivesApart(t *testing.T) {
	c := qt.New(t)
	w, ctx := newOtherLifeCluster(), context.Background()
	earlier, current := instanceOf("w1"), instanceOf("w1")
	earlier.Life, current.Life = 8, 9
	c.Assert(w.relay.Start(ctx, platform.StartOrder{Instance: earlier, Task: taskID, Run: 1, FencingToken: 1}), qt.Equals, cell.OtherLife)
	_, err := w.relay.Hold(ctx, earlier, 1, 0, 0, 0)
	var other cell.OtherLifeError
	c.Assert(errors.As(err, &other), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(other.Life, qt.Equals, int64(9))
	c.Assert(w.callCount("w1"), qt.Equals, 0)
	c.Assert(w.relay.Start(ctx, platform.StartOrder{Instance: current, Task: taskID, Run: 1, FencingToken: 1}), qt.Equals, cell.Accepted)
	_, err = w.relay.Hold(ctx, current, 1, 0, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(w.callCount("w1"), qt.Equals, 2)
}

// earlierCalls is a batch as hosts of earlier versions encode it.
type earlierCalls struct {
	Fence int64          `cbor:"1,keyasint"`
	Calls []carrier.Call `cbor:"2,keyasint"`
}

// Hosts of two versions exchange batches while they are upgraded: the lives in a batch must not
// make it unreadable, and a batch without them is for any life.
func TestBatchesOfEarlierVersions(t *testing.T) {
	c := qt.New(t)
	batch := carrier.Calls{Fence: 1, Calls: []carrier.Call{{Number: 1, Verb: carrier.Start, Worker: "w1", Task: taskID, Run: 1}}, Lives: []int64{8}}
	data, err := codec.Marshal(batch)
	c.Assert(err, qt.IsNil)
	var earlier earlierCalls
	c.Assert(codec.Unmarshal(data, &earlier), qt.IsNil)
	data, err = codec.Marshal(earlier)
	c.Assert(err, qt.IsNil)
	var again carrier.Calls
	c.Assert(codec.Unmarshal(data, &again), qt.IsNil)
	c.Assert(again.Lives, qt.HasLen, 0)

	w := newOtherLifeCluster()
	w.hosts["h0"].HandleCalls(context.Background(), "owner", again)
	for end := time.Now().Add(5 * time.Second); w.callCount("w1") == 0; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}
