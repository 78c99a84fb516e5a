package chart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/chart"
)

func TestEveryChartIsWhole(t *testing.T) {
	c := qt.New(t)
	names := chart.Names()
	c.Assert(names, qt.Not(qt.HasLen), 0)
	for _, name := range names {
		_, err := chart.Load(name)
		c.Check(err, qt.IsNil, qt.Commentf("%s", name))
	}
}

func TestParseFindsFaults(t *testing.T) {
	for _, test := range []struct{ name, data, want string }{
		{"Unreachable", `{"Name":"X","Initial":"A","Events":["E"],"States":{"A":{"On":{"E":"A"}},"B":{"Final":true}}}`, `.*state "B" cannot be reached.*`},
		{"NoExit", `{"Name":"X","Initial":"A","Events":["E"],"States":{"A":{"On":{"E":"B"}},"B":{}}}`, `.*state "B" must be final or have an exit.*`},
		{"MissingEvent", `{"Name":"X","Initial":"A","Events":["E","F"],"States":{"A":{"On":{"E":"B"}},"B":{"Final":true}}}`, `.*event "F" is taken in no state.*`},
		{"UnknownTarget", `{"Name":"X","Initial":"A","Events":["E"],"States":{"A":{"On":{"E":"C"}}}}`, `.*goes to "C", which is not listed.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := chart.Parse([]byte(test.data))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

func TestEmptyStateIsTheInitialOne(t *testing.T) {
	c := chart.MustLoad("Task")
	qt.Assert(t, c.Accepts("", "Repeat"), qt.IsTrue)
	next, err := c.Next("", "Repeat")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next, qt.Equals, chart.State("Repeating"))
}
