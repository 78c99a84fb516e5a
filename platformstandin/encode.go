package platformstandin

import "encoding/base64"

// encode returns a value as it stands in a row.
func encode(value []byte) string { return base64.StdEncoding.EncodeToString(value) }

// decode returns what encode was given; garbled values are empty.
func decode(value string) []byte {
	data, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return nil
	}
	return data
}
