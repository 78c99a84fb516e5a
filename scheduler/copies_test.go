package scheduler_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

// A third of the orders get no answer, and are carried out some seconds later or never. A
// later copy is usually answered, but only its acceptance is conclusive.
func TestOrderIsResentUntilAnswered(t *testing.T) {
	for _, test := range []struct {
		answers []cell.Answer
		want    cell.Answer
		copies  int
	}{
		{[]cell.Answer{cell.Accepted}, cell.Accepted, 1},
		{[]cell.Answer{cell.NoRoom}, cell.NoRoom, 1},
		{[]cell.Answer{cell.Unreached}, cell.Unreached, 1},
		{[]cell.Answer{cell.NoAnswer, cell.Accepted}, cell.Accepted, 2},
		{[]cell.Answer{cell.NoAnswer, cell.NoAnswer, cell.Accepted}, cell.Accepted, 3},
		{[]cell.Answer{cell.NoAnswer, cell.NoAnswer, cell.NoAnswer}, cell.NoAnswer, 3},
		// The first copy started the run, which has ended since.
		{[]cell.Answer{cell.NoAnswer, cell.Superseded}, cell.NoAnswer, 2},
		{[]cell.Answer{cell.NoAnswer, cell.NoRoom}, cell.NoAnswer, 2},
		{[]cell.Answer{cell.NoAnswer, cell.Unreached}, cell.NoAnswer, 2},
	} {
		copies := 0
		got := scheduler.SendCopies(t.Context(), func(context.Context) cell.Answer {
			copies++
			return test.answers[copies-1]
		})
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%v", test.answers))
		qt.Check(t, copies, qt.Equals, test.copies, qt.Commentf("%v", test.answers))
	}
}
