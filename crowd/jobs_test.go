package crowd_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// otherHosts is the number of hosts that forward jobs to the owner, of largeSteps steps and
	// largeSpecBytes.
	otherHosts, largeSteps, largeSpecBytes = 6, 100, 4000
	// submitters is the number of clients that submit jobs of jobTasks tasks, and jobsEach how many
	// each of them submits: 12,800 jobs. Each task needs the whole worker for a moment.
	submitters, jobsEach, jobTasks = 64, 200, 100
	wideJob                        = `{"spec":"x","steps":[{"replicas":100,"cpu":64000,"mem_mb":10,"estimate_ms":50}]}`
)

// largeJob returns a job of largeSteps steps, with a specification of largeSpecBytes.
func largeJob() string {
	const step = `{"replicas":1,"cpu":100,"mem_mb":10,"estimate_ms":50}`
	return `{"spec":"` + strings.Repeat("x", largeSpecBytes) + `","steps":[` + step + strings.Repeat(","+step, largeSteps-1) + "]}"
}

// submitJobs submits jobs one after the other, and counts those that are accepted or refused. A
// refusal must say when to come back.
func submitJobs(connection net.Conn, body string, client int, accepted, refused *atomic.Int64) error {
	answers := bufio.NewReader(connection)
	for i := range jobsEach {
		if err := connection.SetDeadline(deadlineOfSends()); err != nil {
			return err
		}
		id := 1 + client*jobsEach + i
		if _, err := fmt.Fprintf(connection, "%s%s\r\n\r\n%s", requestTo(jobPath(id)), lengthHeader(len(body)), body); err != nil {
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

// dump returns whether a host owns the cell, and its fencing token.
func (h *host) dump() (owns bool, fence int64) {
	response, err := http.Get("http://" + h.address(metricsPort) + "/dump")
	h.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var dump struct {
		Owns  bool
		Fence int64
	}
	h.c.Assert(json.NewDecoder(response.Body).Decode(&dump), qt.IsNil)
	return dump.Owns, dump.Fence
}

// checkTenure checks that a host has owned the cell since it had a fencing token.
func (h *host) checkTenure(fence int64) {
	owns, now := h.dump()
	h.c.Check(owns && now == fence, qt.IsTrue, qt.Commentf("owns %t, fencing token %d, before %d", owns, now, fence))
}

// Guards against hosts that are each within their limits and together exhaust the owner, which must
// also keep the cell.
func TestManyHostsExhaustNoOwner(t *testing.T) {
	s := newPlatform(t)
	owner := s.startHost(t)
	owns, fence := owner.dump()
	owner.c.Assert(owns, qt.IsTrue)
	var hosts []*host
	for range otherHosts {
		hosts = append(hosts, s.startHost(t))
	}
	body := largeJob()
	var accepted, refused atomic.Int64
	var attacks sync.WaitGroup
	for i, h := range hosts {
		attacks.Go(func() {
			h.attack(submitters, func(connection net.Conn, client int) error {
				return submitJobs(connection, body, i*submitters+client, &accepted, &refused)
			})
		})
	}
	attacks.Wait()
	owner.c.Logf("%d accepted, %d refused", accepted.Load(), refused.Load())
	owner.checkTenure(fence)
	for _, h := range append(hosts, owner) {
		h.check()
	}
}

// Guards against an owner that loses the cell because clients attack it.
func TestOwnerUnderAttackKeepsTheCell(t *testing.T) {
	s := newPlatform(t)
	owner := s.startHost(t)
	_, fence := owner.dump()
	other := s.startHost(t)
	kinds := allKinds(jobPath(1))
	body := sender(lengthHeader(bodyBytes), largeBody(), 1, 0)
	owner.attack(clients, func(connection net.Conn, client int) error {
		if kind := client % (2 * len(kinds)); kind < len(kinds) {
			return sendEndlessly(connection, kinds[kind][0], kinds[kind][1])
		}
		return body(connection, client)
	})
	owner.checkTenure(fence)
	owner.check()
	other.check()
}

// Guards against an owner that accepts more jobs than it has memory for.
func TestManyJobs(t *testing.T) {
	h := startHost(t)
	var accepted, refused, failed atomic.Int64
	h.attack(submitters, func(connection net.Conn, client int) error {
		err := submitJobs(connection, wideJob, client, &accepted, &refused)
		if err != nil {
			failed.Add(1)
		}
		return err
	})
	h.c.Logf("%d accepted, %d refused, %d clients failed", accepted.Load(), refused.Load(), failed.Load())
	h.check()
	h.c.Check(accepted.Load() > submitters, qt.IsTrue)
}
