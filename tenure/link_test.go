package tenure_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/tenure"
)

func TestOwnerWithoutAnnouncementsIsUnreachable(t *testing.T) {
	c := qt.New(t)
	l := tenure.Link{}.WithOwner(second).WithAnnouncement(10*second, 200*ms, false)
	c.Assert(l.Reachable(10500*ms, true), qt.IsTrue)
	c.Assert(l.Reachable(10700*ms, true), qt.IsFalse)
	// The owner of a large cell announces itself less often.
	c.Assert(l.WithAnnouncement(10*second, 3*second, false).Reachable(13*second, true), qt.IsTrue)
}

func TestNewOwnerHasTimeToConnect(t *testing.T) {
	c := qt.New(t)
	l := tenure.Link{}.WithOwner(10 * second)
	c.Assert(l.Reachable(11*second, true), qt.IsTrue)
	c.Assert(l.Reachable(12*second, true), qt.IsFalse)
}

func TestStalledOwnerIsUnreachable(t *testing.T) {
	c := qt.New(t)
	l := tenure.Link{}.WithOwner(second).WithAnnouncement(10*second, 200*ms, true)
	c.Assert(l.Reachable(10100*ms, true), qt.IsFalse)
	// The store does not respond to this host either.
	c.Assert(l.Reachable(10100*ms, false), qt.IsTrue)
}

// The previous owner's statement that it was stalled is no reason to replace its successor,
// which has announced nothing yet. Otherwise the hosts of a large cell replace one owner
// after another before any has started.
func TestNewOwnerDoesNotInheritStalled(t *testing.T) {
	l := tenure.Link{}.WithOwner(second).WithAnnouncement(10*second, 3*second, true).WithOwner(10800 * ms)
	qt.Assert(t, l.Reachable(11600*ms, true), qt.IsTrue)
}
