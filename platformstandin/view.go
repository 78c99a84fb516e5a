package platformstandin

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"strings"
)

// RewriteAddresses replaces a part of the addresses in the values of all rows that a store
// returns, so that a host reaches the other hosts and workers through its own proxies. from
// and to must have the same length, since values may contain the lengths of their strings.
func RewriteAddresses(next http.Handler, from, to string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := &bufferedWriter{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(k, r)
		maps.Copy(w.Header(), k.header)
		w.WriteHeader(k.status)
		// An error here means that the client has disconnected.
		_, _ = w.Write(rewriteAnswer(k.body.Bytes(), from, to))
	})
}

// rewriteAnswer returns an answer with rewritten row values. A body that is not an answer
// with rows is returned unchanged.
func rewriteAnswer(body []byte, from, to string) []byte {
	var answer struct {
		Rows []wireRow `json:"rows"`
		More bool      `json:"has_more"`
		Ver  int64     `json:"ver"`
		Now  int64     `json:"now_ms"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return body
	}
	for i, row := range answer.Rows {
		answer.Rows[i].Value = encode([]byte(strings.ReplaceAll(string(decode(row.Value)), from, to)))
	}
	changed, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return changed
}

// bufferedWriter is a ResponseWriter that buffers an answer.
type bufferedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (k *bufferedWriter) Header() http.Header { return k.header }

func (k *bufferedWriter) Write(p []byte) (int, error) { return k.body.Write(p) }

func (k *bufferedWriter) WriteHeader(status int) { k.status = status }
