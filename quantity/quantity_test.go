package quantity_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/quantity"
)

func TestBytesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := quantity.Bytes(rapid.Int64Min(0).Draw(t, "bytes"))
		got, err := quantity.ParseBytes(want.String())
		if err != nil || got != want {
			t.Fatalf("%d: %q read as %d, %v", want, want, got, err)
		}
	})
}

func TestInvalidSizesAreRejected(t *testing.T) {
	for _, text := range []string{
		`{"Memory": "64MB"}`, `{"Memory": 64}`, `{"Memory": "9999999999TiB"}`, `{"Processors": -1}`,
		`{"Accelerators": -1}`, `{"Cores": 1}`,
	} {
		var s quantity.Size
		qt.Check(t, json.Unmarshal([]byte(text), &s), qt.IsNotNil, qt.Commentf("%s", text))
	}
}

func TestSizeKeepsMilliProcessors(t *testing.T) {
	var s quantity.Size
	qt.Assert(t, json.Unmarshal([]byte(`{"Processors": 0.25, "Memory": "1GiB"}`), &s), qt.IsNil)
	qt.Assert(t, s.TaskSize().Processors, qt.Equals, int64(250))
	qt.Assert(t, quantity.FromTaskSize(s.TaskSize()), qt.Equals, s)
}
