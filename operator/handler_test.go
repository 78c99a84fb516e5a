package operator_test

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/task"
)

// cell answers like a process whose platform fails with err.
type cell struct {
	err  error
	jobs int
}

func (c cell) ReadConfiguration(context.Context) (configuration.Configuration, error) {
	return configuration.Configuration{}, c.err
}
func (c cell) InForce() configuration.Configuration { return configuration.Configuration{} }
func (c cell) Propose(context.Context, configuration.Configuration, string) (*configuration.Proposal, error) {
	return nil, c.err
}
func (c cell) Edit(context.Context, string, func(configuration.Configuration) configuration.Configuration) (*configuration.Proposal, error) {
	return nil, c.err
}
func (c cell) AwaitApplied(context.Context, uint64) []string { return nil }
func (c cell) KnowsWorker(string) bool                       { return true }
func (c cell) Ready() error                                  { return c.err }
func (c cell) Metrics() expvar.Var                           { return new(expvar.Map) }
func (c cell) Dump(_ context.Context, limit int) operator.Dump {
	jobs := make([]decision.JobDescription, min(limit, c.jobs))
	for i := range jobs {
		jobs[i].Work = task.Key{Team: strings.Repeat("t", task.MaxNameLength), ID: strings.Repeat("i", 2*task.MaxNameLength)}
		jobs[i].Partition = strings.Repeat("p", 2000)
	}
	return operator.Dump{Work: decision.Description{Unanswered: jobs}}
}

// send asks a handler and returns the status and the failure that it tells.
func send(t *testing.T, c cell, method, path, bearer, body string) (int, operator.Failure, int) {
	s := settings.Settings{Operators: map[string]settings.Operator{"ops": {Token: "t-ops"}}}
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", bearer)
	operator.Handler(s, c).ServeHTTP(recorder, request)
	size := recorder.Body.Len()
	var f operator.Failure
	qt.Assert(t, json.Unmarshal(recorder.Body.Bytes(), &f), qt.IsNil)
	return recorder.Code, f, size
}

func TestFailuresAreTyped(t *testing.T) {
	const good = "Bearer t-ops"
	down := cell{err: errors.New("table is down")}
	doubt := cell{err: errors.WithType(errors.New("no answer"), configuration.ErrUnknown)}
	for _, test := range []struct {
		name                       string
		cell                       cell
		method, path, bearer, body string
		status                     int
		code                       string
	}{
		{"no token", cell{}, "GET", "/v1/configuration", "", "", 401, "BadToken"},
		{"token without scheme", cell{}, "GET", "/v1/configuration", "t-ops", "", 401, "BadToken"},
		{"metrics without a token", cell{}, "GET", "/debug/vars", "Bearer x", "", 401, "BadToken"},
		{"no route", cell{}, "GET", "/v2", good, "", 404, "NoRoute"},
		{"torn", cell{}, "PUT", "/v1/configuration", good, `{"Version": 1`, 400, "BadConfiguration"},
		{"two values", cell{}, "PUT", "/v1/configuration", good, `{} {}`, 400, "BadConfiguration"},
		{"host", cell{}, "PUT", "/v1/hosts/e9/drain", good, "", 404, "UnknownHost"},
		{"limit", cell{}, "GET", "/v1/dump?limit=x", good, "", 400, "BadLimit"},
		{"large", cell{}, "PUT", "/v1/configuration", good, strings.Repeat(" ", configuration.MaxSize+1), 413, "BodyTooLarge"},
		{"platform down", down, "PUT", "/v1/configuration", good, `{}`, 503, "PlatformUnavailable"},
		{"outcome unknown", doubt, "PUT", "/v1/configuration", good, `{}`, 504, "Unknown"},
		{"not ready", down, "GET", "/ready", "", "", 503, "NotReady"},
	} {
		status, f, _ := send(t, test.cell, test.method, test.path, test.bearer, test.body)
		qt.Check(t, status, qt.Equals, test.status, qt.Commentf("%s", test.name))
		qt.Check(t, f.Code, qt.Equals, test.code, qt.Commentf("%s", test.name))
		qt.Check(t, f.Reason, qt.Matches, `[A-Z].*\.`, qt.Commentf("%s", test.name))
	}
}

func TestDumpStaysWithinItsBound(t *testing.T) {
	status, _, size := send(t, cell{jobs: 100_000}, http.MethodGet, "/v1/dump?limit=1000", "Bearer t-ops", "")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, size <= operator.MaxDumpSize+1, qt.IsTrue, qt.Commentf("%d bytes", size))
	qt.Assert(t, size > operator.MaxDumpSize/4, qt.IsTrue, qt.Commentf("%d bytes", size))
}
