package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// requestTimeout bounds one HTTP call of the command line.
const requestTimeout = 10 * time.Minute

// httpCall is one HTTP request to an entry host.
type httpCall struct {
	address, token, authority string
	method, path              string
	// body is sent unchanged if it is a []byte and as JSON otherwise; nil means
	// no body.
	body any
}

// send sends the request and returns the status and the body of the response.
func (e httpCall) send() (int, []byte, error) {
	body, err := e.encode()
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, e.method, e.url(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, codedError{exitUsage, err}
	}
	request.Header.Set("Authorization", "Bearer "+e.token)
	request.Header.Set("Content-Type", "application/json")
	client, err := httpClient(e.authority)
	if err != nil {
		return 0, nil, codedError{exitUsage, err}
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, codedError{exitUnknown, err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, codedError{exitUnknown, errors.Annotate(err, "answer")}
	}
	return response.StatusCode, data, nil
}

func (e httpCall) encode() ([]byte, error) {
	switch body := e.body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return body, nil
	default:
		data, err := json.Marshal(body)
		return data, errors.Trace(err)
	}
}

// url returns the URL of the request. The scheme is HTTP unless the address has
// one.
func (e httpCall) url() string {
	if strings.Contains(e.address, "://") {
		return e.address + e.path
	}
	return "http://" + e.address + e.path
}
