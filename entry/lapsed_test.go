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

// pauseBeforeSend is a log hook that blocks the decision duty when it traces the
// command that starts a piece of work, just before the command is sent.
type pauseBeforeSend struct {
	blockOnce   sync.Once
	unblockOnce sync.Once
	reached     chan struct{}
	resume      chan struct{}
}

func newPauseBeforeSend() *pauseBeforeSend {
	return &pauseBeforeSend{reached: make(chan struct{}), resume: make(chan struct{})}
}

// unblock unblocks the duty.
func (p *pauseBeforeSend) unblock() { p.unblockOnce.Do(func() { close(p.resume) }) }

// Levels implements logrus.Hook.
func (p *pauseBeforeSend) Levels() []logrus.Level { return []logrus.Level{logrus.DebugLevel} }

// Fire implements logrus.Hook.
func (p *pauseBeforeSend) Fire(e *logrus.Entry) error {
	if e.Message == "Decision: command Place." && e.Data["ID"] == guardedID {
		p.blockOnce.Do(func() {
			close(p.reached)
			<-p.resume
		})
	}
	return nil
}

// TestLeaseIsCheckedBeforeStartIsSent guards against a start that is sent without a
// lease. A host decides to start a batch run under a valid lease and is paused until
// the lease has lapsed, before it sends the command. The run must start only once the
// host has a lease again.
func TestLeaseIsCheckedBeforeStartIsSent(t *testing.T) {
	t.Parallel()
	c := prepareCell(t, 1, 0, "centro")
	pause := newPauseBeforeSend()
	c.hook = pause
	agent := c.addWorker(t, "w1", "centro", isolationRack, nil)
	c.run(t)
	t.Cleanup(pause.unblock)
	n := 0
	await(t, "first request ran", func() bool {
		n++
		return c.request("e1", 0, fmt.Sprintf("first-%d", n), false).state == task.Ran
	})
	var submitted sync.WaitGroup
	submitted.Go(func() { qt.Check(t, c.submitRun(guardedID), qt.IsTrue) })
	await(t, "start decided", func() bool {
		select {
		case <-pause.reached:
			return true
		default:
			return false
		}
	})

	c.hosts["e1"].path.cut.Store(true)
	await(t, "lease lapsed", func() bool {
		var d operator.Dump
		_, err := c.operate(t.Context(), "e1", "GET", "/v1/dump", "", &d)
		return err == nil && !d.Lease.Valid
	})
	pause.unblock()
	// A request that is safe to repeat runs without a lease. It follows the start
	// through every queue, so that the start would have arrived by now.
	qt.Assert(t, c.request("e1", 0, "probe", true).state, qt.Equals, task.Ran)
	qt.Assert(t, startsOf(guardedID, agent), qt.Equals, 0)

	c.hosts["e1"].path.cut.Store(false)
	await(t, "run started", func() bool { return startsOf(guardedID, agent) > 0 })
	qt.Assert(t, startsOf(guardedID, agent), qt.Equals, 1)
	submitted.Wait()
}
