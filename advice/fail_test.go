package advice_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/advice"
)

// A host that is cut off from the service fails each question at once. It must not count as
// the fastest host, or the only queued question is sent there again and again.
func TestHostThatFailsAtOnceIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	now := ms
	answered := 0
	for range 5 {
		d.Add(question(1, 500*ms))
		assigned := d.Assign(now, hosts)
		c.Assert(assigned, qt.HasLen, 1)
		if host := assigned[0].Host; host == hosts[0] {
			now += 20 * ms
			d.RecordFailure(now, host, assigned[0].Question)
		} else {
			now += 550 * ms
			d.RecordAnswer(now, host, assigned[0].Question)
			answered++
		}
		now += 20 * ms
	}
	c.Assert(answered >= 4, qt.IsTrue, qt.Commentf("%d of 5 questions were answered", answered))
}

// A host that failed a question is used again after its backoff, even if it is the only
// host.
func TestFailedHostIsUsedAgainAfterBackoff(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	d.Add(question(1, 20*ms))
	c.Assert(d.Assign(ms, hosts[:1]), qt.HasLen, 1)
	d.RecordFailure(10*ms, hosts[0], question(1, 20*ms))
	d.Add(question(1, 20*ms))
	c.Assert(d.Assign(20*ms, hosts[:1]), qt.HasLen, 0)
	c.Assert(d.Assign(1000*ms, hosts[:1]), qt.HasLen, 1)
}
