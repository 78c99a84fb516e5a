package entry_test

import (
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/task"
)

const guardedID = "guarded"

// pauseBeforeSend stops the duty that decides when it traces the command which
// starts a piece of work, just before it sends that.
type pauseBeforeSend struct {
	once    sync.Once
	ended   sync.Once
	reached chan struct{}
	resume  chan struct{}
}

func newPauseBeforeSend() *pauseBeforeSend {
	return &pauseBeforeSend{reached: make(chan struct{}), resume: make(chan struct{})}
}

// end lets the duty go on.
func (p *pauseBeforeSend) end() { p.ended.Do(func() { close(p.resume) }) }

// Levels implements logrus.Hook.
func (p *pauseBeforeSend) Levels() []logrus.Level { return []logrus.Level{logrus.DebugLevel} }

// Fire implements logrus.Hook.
func (p *pauseBeforeSend) Fire(e *logrus.Entry) error {
	if e.Message == "Decision: command Place." && e.Data["ID"] == guardedID {
		p.once.Do(func() {
			close(p.reached)
			<-p.resume
		})
	}
	return nil
}

// TestLeaseIsCheckedBeforeStartIsSent pauses a host between the decision to
// start a batch run, under a valid lease, and the sending of the start, until the
// lease has lapsed. The run must not start then, and must once there is a lease.
func TestLeaseIsCheckedBeforeStartIsSent(t *testing.T) {
	t.Parallel()
	c := prepareCell(t, 1, 0, "centro")
	pause := newPauseBeforeSend()
	c.hook = pause
	agent := c.addWorker(t, "w1", "centro", isolationRack, nil)
	c.run(t)
	t.Cleanup(pause.end)
	n := 0
	await(t, "first run", func() bool {
		n++
		return c.request("e1", 0, fmt.Sprintf("first-%d", n), false).state == task.Ran
	})
	var submitted sync.WaitGroup
	submitted.Go(func() { qt.Check(t, c.submitRun(guardedID), qt.IsTrue) })
	await(t, "decision", func() bool {
		select {
		case <-pause.reached:
			return true
		default:
			return false
		}
	})

	c.hosts["e1"].path.cut.Store(true)
	await(t, "lapse of the lease", func() bool {
		var d operator.Dump
		_, err := c.operate(t.Context(), "e1", "GET", "/v1/dump", "", &d)
		return err == nil && !d.Lease.Valid
	})
	pause.end()
	// A request that is safe to repeat runs without a lease. It follows the start on
	// every ring, so that the start would have arrived by now.
	qt.Assert(t, c.request("e1", 0, "probe", true).state, qt.Equals, task.Ran)
	qt.Assert(t, startsOf(guardedID, agent), qt.Equals, 0)

	c.hosts["e1"].path.cut.Store(false)
	await(t, "start", func() bool { return startsOf(guardedID, agent) > 0 })
	qt.Assert(t, startsOf(guardedID, agent), qt.Equals, 1)
	submitted.Wait()
}
