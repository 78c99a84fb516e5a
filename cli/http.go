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

// requestTimeout bounds one call of the command line.
const requestTimeout = 10 * time.Minute

// exchange is one HTTP call.
type exchange struct {
	address, token, authority string
	method, path              string
	// body is sent as JSON unless it is bytes already; nil is no body.
	body any
}

// send sends the call and returns the status and the body of the answer.
func (e exchange) send() (int, []byte, error) {
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

func (e exchange) encode() ([]byte, error) {
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

// url returns the address with HTTP unless it names a scheme.
func (e exchange) url() string {
	if strings.Contains(e.address, "://") {
		return e.address + e.path
	}
	return "http://" + e.address + e.path
}
