package advice_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/advice"
)

// A host passes on what the service said to an earlier owner about a step, while it asks
// about other workers for the same step: it isn't free, and hasn't answered early.
func TestAnswerToAnEarlierQuestionFreesNoHost(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	asked, earlier := question(1, 1000*ms), question(1, 1000*ms)
	asked.Workers, earlier.Workers = []string{"w1", "w2"}, []string{"w3"}
	d.Add(asked)
	c.Assert(d.Assign(0, hosts[:1]), qt.HasLen, 1)
	d.RecordAnswer(10*ms, hosts[0], earlier)
	d.Add(question(2, 1000*ms))
	c.Assert(d.Assign(10*ms, hosts[:1]), qt.HasLen, 0)
	d.RecordAnswer(1000*ms, hosts[0], asked)
	c.Assert(d.Assign(1000*ms, hosts[:1]), qt.HasLen, 1)
}
