package platformstandin

import "encoding/base64"

// encode returns a value in its encoding in a row.
func encode(value []byte) string { return base64.StdEncoding.EncodeToString(value) }

// decode reverses encode. It returns nil for an invalid encoding.
func decode(value string) []byte {
	data, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return nil
	}
	return data
}
