package platformstandin

import "encoding/base64"

// encode returns a value as it stands in a row.
func encode(value []byte) string { return base64.StdEncoding.EncodeToString(value) }
