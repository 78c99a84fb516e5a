package platformstandin

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"strings"
)

// RewriteAddresses changes a part of addresses in the values of all rows that a store answers,
// so that a host reaches others through proxies of its own. Both parts must have the same
// length, since values may be encoded with the lengths of their texts.
func RewriteAddresses(next http.Handler, from, to string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := &bufferedWriter{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(k, r)
		maps.Copy(w.Header(), k.header)
		w.WriteHeader(k.status)
		// An error here means that the caller has gone.
		_, _ = w.Write(rewriteAnswer(k.body.Bytes(), from, to))
	})
}

// rewriteAnswer returns an answer with changed values; what is no answer with rows stays.
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

// bufferedWriter is a ResponseWriter that keeps an answer.
type bufferedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (k *bufferedWriter) Header() http.Header { return k.header }

func (k *bufferedWriter) Write(p []byte) (int, error) { return k.body.Write(p) }

func (k *bufferedWriter) WriteHeader(status int) { k.status = status }
