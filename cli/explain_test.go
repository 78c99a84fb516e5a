package cli_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cli"
)

// Hosts disagree about the owner after a takeover, are not of this program, or know no owner. The
// command must ask one other host at most, and end with an error.
func TestExplainAsksOneOtherHost(t *testing.T) {
	calls := 0
	status, body := 0, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.WriteHeader(status)
		_, _ = w.Write([]byte(strings.ReplaceAll(body, "HERE", r.Host)))
	}))
	defer server.Close()
	for _, test := range []struct {
		status, calls, exit int
		body                string
	}{
		{421, 2, 1, `{"Host": "h1", "Owner": "h2", "Address": "HERE"}`},
		{503, 1, 1, `{"Host": "h1", "Error": "no owner of the cell is known"}`},
		{404, 1, 1, "404 page not found"},
		{404, 1, 2, `{"Host": "h1", "Error": "queue \"q\" not found"}`},
		{200, 1, 0, `{"Host": "h1", "Explanation": {"Queue": "q", "Steps": [{"ID": "j.0.0", "Tasks": 2, "Rank": 1, "Starts": [{"Tasks": 1, "Worker": "w"}], "Waits": [{"Cause": "Room", "Tasks": 1}]}]}}`},
	} {
		calls, status, body = 0, test.status, test.body
		exit := cli.Run([]string{"explain", "--host", server.Listener.Addr().String(), "--queue", "q"})
		qt.Check(t, []int{exit, calls}, qt.DeepEquals, []int{test.exit, test.calls}, qt.Commentf("%s", test.body))
	}
}
