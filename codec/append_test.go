package codec_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
)

func TestAppendTextMatchesMarshal(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{0, 1, 23, 24, 255, 256, 65535, 65536} {
		text := strings.Repeat("x", n)
		data, err := codec.Marshal(text)
		c.Assert(err, qt.IsNil)
		c.Assert(string(codec.AppendText(nil, text)), qt.Equals, string(data))
	}
}

func TestAppendedMapIsDecodable(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{0, 1, 23, 24, 255, 256, 65536} {
		data := codec.AppendMap(nil, n)
		for i := range n {
			data = append(codec.AppendText(data, fmt.Sprint(i)), codec.Null)
		}
		var pairs map[string]codec.Raw
		c.Assert(codec.Unmarshal(data, &pairs), qt.IsNil)
		c.Assert(pairs, qt.HasLen, n)
	}
}
