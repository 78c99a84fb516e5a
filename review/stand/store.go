package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

const (
	// rowBytes, answerTime and transactionTime are those of the settings and the site files.
	rowBytes        = 65536
	answerTime      = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
)

// store serves the project's stand-in of the platform's store to one host. It adds the
// times of the pages and their limit for the value of a row, which the stand-in lacks.
func (c *cell) store(host int) http.Handler {
	from, to := c.prefix(realView), c.prefix(firstView+host)
	next := platformstandin.RewriteAddresses(c.rows.Handler(), from, to)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != names["transaction"] {
			next.ServeHTTP(w, r)
			time.Sleep(answerTime)
			return
		}
		data, err := io.ReadAll(r.Body)
		var t struct {
			Writes []struct {
				Table, Key string
				Value      []byte
			}
		}
		if err != nil || json.Unmarshal(data, &t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, row := range t.Writes {
			c.noteRow(row.Table, len(row.Value))
			if len(row.Value) > rowBytes {
				c.record.line("store refuses a transaction of h%d: row %s of table %s has %d bytes", host, row.Key, row.Table, len(row.Value))
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		time.Sleep(answerTime + transactionTime)
		r.Body = io.NopCloser(bytes.NewReader(data))
		if notify := c.observer(); notify != nil {
			k := &heldAnswer{ResponseWriter: w}
			next.ServeHTTP(k, r)
			if k.status == http.StatusOK {
				notify(host)
			}
			k.flush()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// heldAnswer holds an answer back until flush.
type heldAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) WriteHeader(status int)      { h.status = status }
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }
func (h *heldAnswer) flush() {
	h.ResponseWriter.WriteHeader(h.status)
	// An error here means that the host has disconnected.
	_, _ = h.ResponseWriter.Write(h.body.Bytes())
}

// noteRow keeps the size of the largest row of each table.
func (c *cell) noteRow(table string, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.largestRow[table] = max(c.largestRow[table], size)
}

func (c *cell) observer() func(host int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.onTransaction
}
