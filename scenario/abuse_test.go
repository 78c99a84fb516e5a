package scenario_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/caller"
)

// abusiveRequest is a malformed or unauthorised request and the error code that
// is expected in its answer.
type abusiveRequest struct{ name, token, body, want string }

// oversizedLength is the Content-Length of the oversized body, in bytes.
const oversizedLength = 1 << 30

// abuseCommand sends invalid requests to an entry host while an oversized and a
// slow upload are in progress, and checks the answer to each:
//
//	abuse ENTRY
//
// A valid request must be served while the slow upload is still open.
func abuseCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	oversized := c.sendPartial(ts, args[0], "t-domes", oversizedLength, "{")
	slow := c.sendPartial(ts, args[0], "t-domes", 100, `{"ID": "slow`)
	defer oversized.Close()
	defer slow.Close()
	began := time.Now()
	for _, a := range []abusiveRequest{
		{"torn JSON", "t-domes", `{"ID": "torn", "Kind": `, caller.CodeBadBody},
		{"unknown field", "t-domes", `{"IDs": "unknown"}`, caller.CodeBadBody},
		{"wrong token", "t-nobody", `{}`, caller.CodeBadToken},
	} {
		connection := c.sendPartial(ts, args[0], a.token, int64(len(a.body)), a.body)
		expectCode(ts, a.name, connection, a.want)
		connection.Close()
	}
	expectCode(ts, "body of a gigabyte", oversized, caller.CodeBodyTooLarge)
	l := &load{cell: c}
	answer, err := l.submitNoWait(args[0], submission{Team: "domes", ID: "served", Kind: "Request", Tasks: 1, Idempotent: true, RunTime: 10 * time.Millisecond})
	ts.Check(err)
	ts.Logf("abuse: ordinary work is answered as %s after %v", answer.State, time.Since(began).Round(time.Millisecond))
	if answer.State != "Ran" {
		ts.Fatalf("ordinary work was answered as %s, want Ran: %s", answer.State, answer.Reason)
	}
	expectCode(ts, "slow sender", slow, caller.CodeBodyTimeout)
}

// sendPartial opens a connection and sends a header with the given Content-Length,
// followed by part of the body.
func (c *cell) sendPartial(ts *testscript.TestScript, entry, token string, length int64, part string) net.Conn {
	connection, err := net.Dial("tcp", c.addresses[entry])
	ts.Check(err)
	ts.Check(connection.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(connection, "POST /v1/work/ HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", token, length, part)
	ts.Check(err)
	return connection
}

func expectCode(ts *testscript.TestScript, name string, connection io.Reader, want string) {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		ts.Fatalf("%s: %v", name, err)
	}
	defer response.Body.Close()
	var answer caller.Answer
	ts.Check(json.NewDecoder(response.Body).Decode(&answer))
	ts.Logf("abuse: %s: %s %s: %s", name, response.Status, answer.Code, answer.Reason)
	if answer.Code != want {
		ts.Fatalf("%s was answered with unexpected code %q", name, answer.Code)
	}
}
