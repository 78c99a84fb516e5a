package codec

import "github.com/fxamacker/cbor/v2"

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// maxElements bounds the number of elements of a decoded array or map.
const maxElements = 1 << 20

// Raw is an encoded value.
type Raw = cbor.RawMessage

// Marshal returns the CBOR encoding of value. Times are encoded with microsecond
// precision.
func Marshal(value any) ([]byte, error) { return encoder.Marshal(value) }

// Unmarshal decodes CBOR into the value that target points to.
func Unmarshal(data []byte, target any) error { return decoder.Unmarshal(data, target) }

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
