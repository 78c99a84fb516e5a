package codec

import "github.com/fxamacker/cbor/v2"

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// maxElements bounds the arrays and maps that are decoded.
const maxElements = 1 << 20

// Raw is a value that is encoded already.
type Raw = cbor.RawMessage

// Marshal returns value as CBOR. Times keep microseconds.
func Marshal(value any) ([]byte, error) { return encoder.Marshal(value) }

// Unmarshal reads CBOR into the value that target points to.
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
