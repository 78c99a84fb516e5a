package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/task"
)

// do sends a request and reads the answer, whose status it returns.
func do(ctx context.Context, method, url, token, body string, into any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(data, into)
}

// operate sends a request to a host's operators' address.
func (c *cell) operate(ctx context.Context, name, method, path, body string, into any) (int, error) {
	return do(ctx, method, "http://"+c.settings.Hosts[name].Operators+path, "t-ops", body, into)
}

// call sends a request of a team to a host's callers' address.
func (c *cell) call(ctx context.Context, name, team, method, path, body string) (int, caller.Answer, error) {
	var a caller.Answer
	status, err := do(ctx, method, "http://"+c.settings.Hosts[name].Callers+path, "t-"+team, body, &a)
	return status, a, err
}

// dump returns the state of a host.
func (c *cell) dump(t *testing.T, name string) operator.Dump {
	var d operator.Dump
	_, err := c.operate(t.Context(), name, "GET", "/v1/dump", "", &d)
	qt.Assert(t, err, qt.IsNil)
	return d
}

// reply is the answer to one request.
type reply struct {
	idempotent bool
	state      task.State
	code       string
	latency    time.Duration
}

// request sends one request and waits for its final answer.
func (c *cell) request(host string, team int, id string, idempotent bool) reply {
	body := fmt.Sprintf(`{"ID":%q,"Kind":"Request","Idempotent":%v,"RunTime":"1ms","Size":{"Processors":0.1}}`, id, idempotent)
	sent := time.Now()
	_, a, err := c.call(context.Background(), host, fmt.Sprintf("team%d", team), "POST", "/v1/work", body)
	if err != nil {
		a = caller.Answer{}
	}
	return reply{idempotent: idempotent, state: a.State, code: a.Code, latency: time.Since(sent)}
}

// submitRun submits a batch run once and reports whether it was accepted.
func (c *cell) submitRun(id string) bool {
	body := fmt.Sprintf(`{"ID":%q,"Kind":"Batch","Idempotent":true,"RunTime":"10m","Size":{"Processors":0.1}}`, id)
	status, _, err := c.call(context.Background(), "e1", "team0", "POST", "/v1/work", body)
	return err == nil && status/100 == 2
}
