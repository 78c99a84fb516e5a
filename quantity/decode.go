package quantity

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// DecodeStrict decodes one JSON value and returns an error for unknown fields and trailing
// data.
func DecodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.NotValidf("text after the JSON value")
	}
	return nil
}
