package slope

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/worker"
)

// iterations is the number of calls over which a measure of time or bytes is
// averaged.
const iterations = 200

// countingListener counts the bytes sent and received on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// renewalBytes measures the bytes of a batch to a worker and its answer over
// HTTP.
func renewalBytes() (Slope, error) {
	s := Slope{Name: "batch to a worker and its answer (HTTP)", CostUnit: "bytes", SizeUnit: "command"}
	for _, n := range []int{0, 1, 10, 100} {
		bytes, _, err := sendBatches(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s, nil
}

// renewalTime measures the duration of a batch to a worker on loopback, which
// bounds the processor time of both sides.
func renewalTime() (Slope, error) {
	s := Slope{Name: "time of a batch to a worker on loopback, both sides", CostUnit: "microseconds", SizeUnit: "command"}
	for _, n := range []int{0, 1, 10, 100} {
		_, spent, err := sendBatches(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), float64(spent.Nanoseconds()) / 1000})
	}
	return s, nil
}

// sendBatches sends batches of n commands to an agent that accepts them, and
// returns the average bytes and duration of a batch.
func sendBatches(n int) (bytes float64, spent time.Duration, err error) {
	var counted atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(acceptBatch))
	server.Listener = countingListener{server.Listener, &counted}
	server.Start()
	defer server.Close()
	client := worker.NewClient(server.Listener.Addr().String())
	defer client.Close()
	began := time.Now()
	for range iterations {
		if _, err := client.Send(context.Background(), newBatch(n)); err != nil {
			return 0, 0, errors.Trace(err)
		}
	}
	return float64(counted.Load()) / iterations, time.Since(began) / iterations, nil
}

// acceptBatch answers a batch like an agent that carries out every command.
func acceptBatch(w http.ResponseWriter, r *http.Request) {
	var b worker.Batch
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(worker.Results{Clock: time.Hour, Results: make([]worker.Result, len(b.Commands))})
}
