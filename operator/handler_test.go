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

// fakeHost is an entry host whose operations fail with err.
type fakeHost struct {
	err  error
	jobs int
}

func (c fakeHost) ReadConfiguration(context.Context) (configuration.Configuration, error) {
	return configuration.Configuration{}, c.err
}
func (c fakeHost) InForce() configuration.Configuration { return configuration.Configuration{} }
func (c fakeHost) Propose(context.Context, configuration.Configuration, string) (*configuration.Proposal, error) {
	return nil, c.err
}
func (c fakeHost) Edit(context.Context, string, func(configuration.Configuration) configuration.Configuration) (*configuration.Proposal, error) {
	return nil, c.err
}
func (c fakeHost) AwaitApplied(context.Context, uint64) []string { return nil }
func (c fakeHost) KnowsWorker(string) bool                       { return true }
func (c fakeHost) Ready() error                                  { return c.err }
func (c fakeHost) Metrics() expvar.Var                           { return new(expvar.Map) }
func (c fakeHost) Dump(_ context.Context, limit int) operator.Dump {
	jobs := make([]decision.JobDescription, min(limit, c.jobs))
	for i := range jobs {
		jobs[i].Work = task.Key{Team: strings.Repeat("t", task.MaxNameLength), ID: strings.Repeat("i", 2*task.MaxNameLength)}
		jobs[i].Partition = strings.Repeat("p", 2000)
	}
	return operator.Dump{Work: decision.Description{Unanswered: jobs}}
}

// send makes a request and returns the status, the failure and the size of the body.
func send(t *testing.T, c fakeHost, method, path, bearer, body string) (int, operator.Failure, int) {
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

func TestFailuresHaveStatusAndCode(t *testing.T) {
	const good = "Bearer t-ops"
	down := fakeHost{err: errors.New("table is down")}
	outcomeUnknown := fakeHost{err: errors.WithType(errors.New("no answer"), configuration.ErrUnknown)}
	for _, test := range []struct {
		name                       string
		host                       fakeHost
		method, path, bearer, body string
		status                     int
		code                       string
	}{
		{"no token", fakeHost{}, "GET", "/v1/configuration", "", "", 401, "BadToken"},
		{"token without scheme", fakeHost{}, "GET", "/v1/configuration", "t-ops", "", 401, "BadToken"},
		{"metrics without a token", fakeHost{}, "GET", "/debug/vars", "Bearer x", "", 401, "BadToken"},
		{"no route", fakeHost{}, "GET", "/v2", good, "", 404, "NoRoute"},
		{"torn", fakeHost{}, "PUT", "/v1/configuration", good, `{"Version": 1`, 400, "BadConfiguration"},
		{"two values", fakeHost{}, "PUT", "/v1/configuration", good, `{} {}`, 400, "BadConfiguration"},
		{"host", fakeHost{}, "PUT", "/v1/hosts/e9/drain", good, "", 404, "UnknownHost"},
		{"limit", fakeHost{}, "GET", "/v1/dump?limit=x", good, "", 400, "BadLimit"},
		{"large", fakeHost{}, "PUT", "/v1/configuration", good, strings.Repeat(" ", configuration.MaxSize+1), 413, "BodyTooLarge"},
		{"platform down", down, "PUT", "/v1/configuration", good, `{}`, 503, "PlatformUnavailable"},
		{"outcome unknown", outcomeUnknown, "PUT", "/v1/configuration", good, `{}`, 504, "Unknown"},
		{"not ready", down, "GET", "/ready", "", "", 503, "NotReady"},
	} {
		status, f, _ := send(t, test.host, test.method, test.path, test.bearer, test.body)
		qt.Check(t, status, qt.Equals, test.status, qt.Commentf("%s", test.name))
		qt.Check(t, f.Code, qt.Equals, test.code, qt.Commentf("%s", test.name))
		qt.Check(t, f.Reason, qt.Matches, `[A-Z].*\.`, qt.Commentf("%s", test.name))
	}
}

func TestDumpSizeIsBounded(t *testing.T) {
	status, _, size := send(t, fakeHost{jobs: 100_000}, http.MethodGet, "/v1/dump?limit=1000", "Bearer t-ops", "")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, size <= operator.MaxDumpSize+1, qt.IsTrue, qt.Commentf("%d bytes", size))
	qt.Assert(t, size > operator.MaxDumpSize/4, qt.IsTrue, qt.Commentf("%d bytes", size))
}
