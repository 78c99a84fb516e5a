package caller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/task"
)

// Guards against a refusal for want of memory that says that the body is wrong or that no earlier
// try has run, or that does not say when to come back.
func TestRefusalForWantOfMemory(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	owner := &fakeOwner{}
	handler := caller.Handler(caller.Options{
		Settings: settings.Settings{Teams: map[string]settings.Team{"domes": {Token: "t-domes"}}}.WithDefaults(),
		Owners:   owner, Stopping: make(chan struct{}), Log: log,
	})
	memory := budget.New(int64(len(work)))
	c.Assert(memory.Open(func() {}).Reserve(1), qt.IsTrue)
	charge := memory.Open(func() {})
	r := httptest.NewRequest(http.MethodPost, "/v1/work/", strings.NewReader(work))
	r.Header.Set("Authorization", "Bearer t-domes")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r.WithContext(budget.NewContext(r.Context(), charge)))
	c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(recorder.Header().Get("Retry-After"), qt.Equals, "1")
	var answer caller.Answer
	c.Assert(json.NewDecoder(recorder.Body).Decode(&answer), qt.IsNil)
	c.Check(answer.State, qt.Equals, task.Unknown)
	c.Check(answer.Code, qt.Equals, caller.CodeHostOverloaded)
	c.Check(owner.calls.Load(), qt.Equals, int32(0))
}
