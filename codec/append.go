package codec

import "encoding/binary"

// Major types of CBOR, in the upper three bits of the first byte of a value.
const (
	majorText = 3 << 5
	majorMap  = 5 << 5
)

// Null is the encoded null value.
const Null = 0xf6

// AppendMap appends the head of a map. The encoded keys and values of that many pairs
// must follow.
func AppendMap(data []byte, pairs int) []byte { return appendHead(data, majorMap, uint64(pairs)) }

// AppendText appends a text string, which must be valid UTF-8.
func AppendText(data []byte, text string) []byte {
	return append(appendHead(data, majorText, uint64(len(text))), text...)
}

// appendHead appends the shortest head for a major type and an argument (RFC 8949,
// section 3).
func appendHead(data []byte, major byte, argument uint64) []byte {
	switch {
	case argument < 24:
		return append(data, major|byte(argument))
	case argument < 1<<8:
		return append(data, major|24, byte(argument))
	case argument < 1<<16:
		return binary.BigEndian.AppendUint16(append(data, major|25), uint16(argument))
	case argument < 1<<32:
		return binary.BigEndian.AppendUint32(append(data, major|26), uint32(argument))
	default:
		return binary.BigEndian.AppendUint64(append(data, major|27), argument)
	}
}
