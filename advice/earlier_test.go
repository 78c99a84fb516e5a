package advice_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/advice"
)

// A host forwards the service's answer to an earlier owner's question about a step while it
// has a question about the same step and other workers in flight: the host must not count
// as free, nor as having answered early.
func TestAnswerToEarlierQuestionFreesNoHost(t *testing.T) {
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
