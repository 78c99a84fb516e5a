package scheduler_test

import (
	"testing"

	"github.com/vanillaquay/vanillaquay/scheduler"
)

// The settings change, and the host is stopped before its owner has given the cell up for
// that: it is asked to resign twice.
func TestResignIsAskedForTwice(t *testing.T) {
	o := scheduler.New(scheduler.Options{}, nil, nil, nil, nil, nil, nil, nil)
	o.Resign()
	o.Resign()
}
