package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// submitters is the number of clients that submit jobs of jobTasks tasks, and jobsEach how many
	// each of them submits: 12,800 jobs. Each task needs the whole worker for a moment.
	submitters, jobsEach, jobTasks = 64, 200, 100
	wideJob                        = `{"spec":"x","steps":[{"replicas":100,"cpu":64000,"mem_mb":10,"estimate_ms":50}]}`
)

// submitJobs submits jobs one after the other, and counts those that are accepted or refused. A
// refusal must say when to come back.
func submitJobs(connection net.Conn, client int, accepted, refused *atomic.Int64) error {
	answers := bufio.NewReader(connection)
	for i := range jobsEach {
		if err := connection.SetDeadline(deadlineOfSends()); err != nil {
			return err
		}
		id := 1 + client*jobsEach + i
		if _, err := fmt.Fprintf(connection, "%s%s\r\n\r\n%s", requestTo(jobPath(id)), lengthHeader(len(wideJob)), wideJob); err != nil {
			return err
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		switch response.StatusCode {
		case http.StatusOK:
			accepted.Add(1)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err != nil || seconds < 1 {
				return fmt.Errorf("status %s, Retry-After %q", response.Status, response.Header.Get("Retry-After"))
			}
			refused.Add(1)
		}
	}
	return nil
}

// Guards against an owner that accepts more jobs than it has memory for.
func TestManyJobs(t *testing.T) {
	h := startHost(t)
	var accepted, refused, failed atomic.Int64
	h.attack(submitters, func(connection net.Conn, client int) error {
		err := submitJobs(connection, client, &accepted, &refused)
		if err != nil {
			failed.Add(1)
		}
		return err
	})
	h.c.Logf("%d accepted, %d refused, %d clients failed", accepted.Load(), refused.Load(), failed.Load())
	h.check()
	h.c.Check(accepted.Load() > submitters, qt.IsTrue)
}
