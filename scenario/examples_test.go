package scenario_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// apiPage is the page whose examples are run.
const apiPage = "../docs/API.md"

// example is one request of docs/API.md with its documented answer.
type example struct {
	method, path, token, body string
	status                    string
	want                      any
}

// examplesCommand runs the examples of docs/API.md in order, against the entry
// host e1 of the cell: examples
func examplesCommand(ts *testscript.TestScript, _ bool, _ []string) {
	page, err := os.ReadFile(apiPage)
	ts.Check(err)
	examples := examplesOf(ts, string(page))
	for _, e := range examples {
		address := ts.Getenv("ops1")
		if strings.HasPrefix(e.path, "/v1/work/") {
			address = ts.Getenv("e1")
		}
		status, got := e.send(ts, address)
		if status != e.status {
			ts.Fatalf("%s %s: status %s, want %s: %v", e.method, e.path, status, e.status, got)
		}
		if fault := differs("", e.want, got); fault != "" {
			ts.Fatalf("%s %s: %s", e.method, e.path, fault)
		}
	}
	ts.Logf("%d examples hold", len(examples))
}

// examplesOf parses the pairs of http blocks, each a request and its answer.
func examplesOf(ts *testscript.TestScript, page string) []example {
	var blocks []string
	for _, part := range strings.Split(page, "```http\n")[1:] {
		block, _, _ := strings.Cut(part, "```")
		blocks = append(blocks, strings.TrimSpace(block))
	}
	if len(blocks) == 0 || len(blocks)%2 != 0 {
		ts.Fatalf("%d http blocks, want a positive even number", len(blocks))
	}
	var examples []example
	for i := 0; i < len(blocks); i += 2 {
		head, body, _ := strings.Cut(blocks[i], "\n\n")
		line, header, _ := strings.Cut(head, "\n")
		status, answer, _ := strings.Cut(blocks[i+1], "\n")
		e := example{body: body, status: status, token: strings.TrimPrefix(header, "Authorization: ")}
		e.method, e.path, _ = strings.Cut(line, " ")
		ts.Check(json.Unmarshal([]byte(answer), &e.want))
		examples = append(examples, e)
	}
	return examples
}

func (e example) send(ts *testscript.TestScript, address string) (string, any) {
	request, err := http.NewRequest(e.method, "http://"+address+e.path, strings.NewReader(e.body))
	ts.Check(err)
	request.Header.Set("Authorization", e.token)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	ts.Check(err)
	var got any
	ts.Check(json.Unmarshal(data, &got))
	return fmt.Sprint(response.StatusCode), got
}

// differs describes the first difference found, or returns "". Fields that only got has
// are ignored, and the text "*" in want matches any value but null.
func differs(path string, want, got any) string {
	if want == "*" && got != nil {
		return ""
	}
	fields, ok := want.(map[string]any)
	if !ok {
		if fmt.Sprint(want) != fmt.Sprint(got) {
			return fmt.Sprintf("%s is %v, want %v", path, got, want)
		}
		return ""
	}
	object, ok := got.(map[string]any)
	if !ok {
		return fmt.Sprintf("%s is %v, want %v", path, got, want)
	}
	for name, value := range fields {
		if fault := differs(path+"."+name, value, object[name]); fault != "" {
			return fault
		}
	}
	return ""
}
