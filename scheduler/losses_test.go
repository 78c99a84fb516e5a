package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/scheduler"
)

// Answers count as being lost once several were lost within the window, and until a
// window passes without that many losses.
func TestLossesCountWithinTheirWindow(t *testing.T) {
	var l scheduler.AnswerLosses
	for _, step := range []struct {
		at   time.Duration
		many bool
	}{{0, false}, {10 * time.Second, false}, {11 * time.Second, false}, {12 * time.Second, true}, {13 * time.Second, true}} {
		l.Note(step.at)
		qt.Check(t, l.ThresholdReached(step.at), qt.Equals, step.many, qt.Commentf("%s", step.at))
	}
	qt.Check(t, l.ThresholdReached(15*time.Second), qt.IsFalse)
}
