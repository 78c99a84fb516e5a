package codec_test

import (
	"bytes"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
)

// Rows and messages may hold arbitrary bytes. Neither the depth of a value nor a length that it
// states may cost more than the bytes that are there.
func TestOddValuesAreRejectedCheaply(t *testing.T) {
	type record struct {
		Name   string           `cbor:"1,keyasint"`
		Number int64            `cbor:"2,keyasint"`
		List   []string         `cbor:"3,keyasint"`
		Map    map[string]int64 `cbor:"4,keyasint"`
		Bytes  []byte           `cbor:"5,keyasint"`
	}
	field := func(key byte, value ...byte) []byte { return append([]byte{0xa1, key}, value...) }
	long := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	for _, test := range []struct {
		name string
		data []byte
	}{
		{"Empty", nil},
		{"NestedArrays", bytes.Repeat([]byte{0x81}, 1_000_000)},
		{"NestedIndefiniteArrays", bytes.Repeat([]byte{0x9f}, 1_000_000)},
		{"NestedMaps", bytes.Repeat([]byte{0xa1, 0x01}, 1_000_000)},
		{"NestedTags", bytes.Repeat([]byte{0xc1}, 1_000_000)},
		{"NestedUnknownField", field(9, bytes.Repeat([]byte{0x81}, 10_001)...)},
		{"LongArray", field(3, append([]byte{0x9b}, long...)...)},
		{"LongArrayOf2To31", field(3, 0x9a, 0x7f, 0xff, 0xff, 0xff)},
		{"LongMap", field(4, append([]byte{0xbb}, long...)...)},
		{"LongText", field(1, append([]byte{0x7b}, long...)...)},
		{"LongTextOf2To63", field(1, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)},
		{"LongBytes", field(5, 0x5a, 0xff, 0xff, 0xff, 0xff)},
		{"NumberBeyondInt", field(2, append([]byte{0x1b}, long...)...)},
		{"NegativeBeyondInt", field(2, append([]byte{0x3b}, long...)...)},
		{"FloatForANumber", field(2, 0xfb, 0x7f, 0xef, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)},
		{"NaNForANumber", field(2, 0xf9, 0x7e, 0x00)},
		{"InvalidUTF8", field(1, 0x62, 0xff, 0xfe)},
		{"JSON", []byte(`{"service":"s"}`)},
	} {
		t.Run(test.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var r record
			err := codec.Unmarshal(test.data, &r)
			runtime.ReadMemStats(&after)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%+v", r))
			qt.Assert(t, after.TotalAlloc-before.TotalAlloc < 1<<20, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
		})
	}
}
