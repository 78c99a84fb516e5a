package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vanillaquay/vanillaquay/worker"
)

// FuzzAnswers answers every call of the client with arbitrary bytes. The client
// must not panic, and Send must return one result per command or an error.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"Worker":"w1","Instance":"a","Capacity":{"Processors":1},"Attempts":[{"ID":["x"]}]}`))
	f.Add([]byte(`{"Clock":5,"Results":[{"Refused":"Late"}]}`))
	f.Add([]byte(`{"Instance":"a","Events":[{"Sequence":1,"Outcome":"Broke"}]}`))
	f.Add([]byte(`{"Results":[]}`))
	var answer []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A client that has disconnected is not an error.
		_, _ = w.Write(answer)
	}))
	f.Cleanup(server.Close)
	client := worker.NewClient(strings.TrimPrefix(server.URL, "http://"))
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		answer = data
		ctx := context.Background()
		// Most inputs are invalid answers; the calls may fail but must not panic.
		_, _ = client.Adopt(ctx, worker.Adopt{})
		_, _ = client.Events(ctx, 0)
		results, err := client.Send(ctx, worker.Batch{Commands: []worker.Command{{Verb: worker.Start}}})
		if err == nil && len(results.Results) != 1 {
			t.Fatalf("%d results for 1 command", len(results.Results))
		}
	})
}
