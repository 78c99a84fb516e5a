package workerstandin_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

var (
	capacity = task.Size{Processors: 8000, Memory: 8 << 30, Slots: 8}
	attempt  = task.AttemptID{Work: task.Key{Team: "domes", ID: "x"}, Number: 1}
)

// owner calls an agent's handler without a network.
type owner struct {
	c        *qt.C
	agent    *workerstandin.Agent
	instance string
	number   uint64
}

func adopt(c *qt.C, a *workerstandin.Agent) *owner {
	c.Cleanup(a.Close)
	o := &owner{c: c, agent: a}
	var i worker.Inventory
	o.call(http.MethodPost, worker.AdoptPath, worker.Adopt{Owner: "e1", Epoch: 1, Session: 1}, &i)
	o.instance = i.Instance
	return o
}

func (o *owner) call(method, path string, in, out any) {
	body, err := json.Marshal(in)
	o.c.Assert(err, qt.IsNil)
	w := httptest.NewRecorder()
	o.agent.Handler().ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	o.c.Assert(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	o.c.Assert(json.Unmarshal(w.Body.Bytes(), out), qt.IsNil)
}

func (o *owner) batch(until time.Duration, commands ...worker.Command) worker.Results {
	o.number++
	var results worker.Results
	o.call(http.MethodPost, worker.CommandsPath, worker.Batch{Owner: "e1", Epoch: 1, Session: 1, Instance: o.instance,
		Number: o.number, Until: until, StartBy: until, Commands: commands}, &results)
	return results
}

// next returns the first event after a sequence number for which match holds.
func (o *owner) next(after uint64, match func(e worker.Event) bool) worker.Event {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		var events worker.Events
		o.call(http.MethodGet, worker.EventsPath+"?wait=1s&after="+jsonNumber(after), nil, &events)
		for _, e := range events.Events {
			if match(e) {
				return e
			}
			after = e.Sequence
		}
	}
	o.c.Fatal("timed out waiting for a matching event")
	return worker.Event{}
}

func jsonNumber(n uint64) string {
	data, err := json.Marshal(n)
	if err != nil {
		return ""
	}
	return string(data)
}

func start(length time.Duration, payload string) worker.Command {
	return worker.Command{Verb: worker.Start, Attempt: attempt, RunTime: length, Payload: []byte(payload),
		Size: task.Size{Processors: 1000, Memory: 1 << 30, Slots: 1}}
}

func isEnd(e worker.Event) bool { return e.Outcome != "" }

func TestReportedUsageIsActualUsage(t *testing.T) {
	c := qt.New(t)
	o := adopt(c, workerstandin.New("w1", capacity))
	o.batch(time.Minute, start(time.Minute, `{"Standin":{"Used":{"Processors":2500,"Memory":77}}}`))
	e := o.next(0, func(e worker.Event) bool { return e.Outcome == "" })
	c.Assert(e.Used.Processors, qt.Equals, int64(2500))
	c.Assert(e.Used.Memory, qt.Equals, int64(77))
	o.batch(time.Minute, worker.Command{Verb: worker.Throttle, Attempt: attempt})
	e = o.next(e.Sequence, func(e worker.Event) bool { return e.Used.Processors == 1000 })
	c.Assert(e.Used.Memory, qt.Equals, int64(77))
}

func TestPayloadOverridesRunTimeAndOutcome(t *testing.T) {
	c := qt.New(t)
	o := adopt(c, workerstandin.New("w1", capacity))
	o.batch(time.Minute, start(time.Hour, `{"Standin":{"RunTime":"1ms","Outcome":"Broke"}}`))
	c.Assert(o.next(0, isEnd).Outcome, qt.Equals, task.Broke)
}

func TestResumedAttemptRunsOnlyRemainder(t *testing.T) {
	c := qt.New(t)
	var shared workerstandin.Checkpoints
	first, second := workerstandin.New("w1", capacity), workerstandin.New("w2", capacity)
	first.SetCheckpoints(&shared)
	second.SetCheckpoints(&shared)
	o := adopt(c, first)
	o.batch(time.Minute, start(time.Hour, ""))
	time.Sleep(20 * time.Millisecond)
	o.batch(time.Minute, worker.Command{Verb: worker.Checkpoint, Attempt: attempt})
	c.Assert(o.next(0, isEnd).Outcome, qt.Equals, task.Stopped)

	// The first attempt ran for longer than the run time of the second one.
	again := start(time.Hour, `{"Standin":{"RunTime":"10ms"}}`)
	again.Attempt.Number = 2
	p := adopt(c, second)
	p.batch(time.Minute, again)
	c.Assert(p.next(0, isEnd).Outcome, qt.Equals, task.Succeeded)
}

func TestExpiredBatchNeitherRenewsNorStarts(t *testing.T) {
	c := qt.New(t)
	o := adopt(c, workerstandin.New("w1", capacity))
	results := o.batch(time.Nanosecond, start(time.Hour, ""))
	c.Assert(results.Results[0].Refused, qt.Equals, worker.RefusedLate)

	again := start(time.Hour, "")
	again.Attempt.Number = 2
	results = o.batch(results.Clock+200*time.Millisecond, again)
	c.Assert(results.Results[0].Refused, qt.Equals, "")
	// The lease lapses, and the next renewal comes too late.
	c.Assert(o.next(0, isEnd).Outcome, qt.Equals, task.Stopped)
	o.batch(time.Hour)
	c.Assert(o.agent.Audit().Running, qt.HasLen, 0)
}
