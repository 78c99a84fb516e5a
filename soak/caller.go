package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	virtualHost = "soak.example"
	// maxFailedRuns is the number of failed runs after which a task has failed.
	maxFailedRuns = 3
	// callTimeout is the timeout that callers send with their calls.
	callTimeout = 3 * time.Second
	// responseSlack is how much longer than callTimeout callers wait for a late response.
	responseSlack = time.Second
	// maxSubmitCalls bounds the calls that submit one job. After each rejection the caller
	// abandons the job with the probability abandonRatio; a job whose calls were all
	// rejected must never run.
	maxSubmitCalls = 8
	abandonRatio   = 0.7
	// Bounds of the delay before a submission is retried.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, 600 * time.Millisecond
	// Bounds of the pause between two calls, which keeps about half of the processors busy.
	minPause, maxPause = 200 * time.Millisecond, 1400 * time.Millisecond
	// Shares of the calls that submit new jobs, repeat a submission, and ask for a state;
	// the others cancel.
	submitRatio, repeatRatio, statusRatio = 0.55, 0.08, 0.25
	// longTaskThreshold is the longest run time of a task in a job of several steps, so that
	// the jobs of a run end soon after its faults.
	longTaskThreshold = 2 * time.Second
	// recentJobCount is the number of a caller's latest jobs that its next call may be about.
	recentJobCount = 12
)

// queues are the queues of the first catalogue.
var queues = []platformstandin.Queue{
	{Name: "plain", Attempts: maxFailedRuns},
	{Name: "advised", Attempts: maxFailedRuns, Advised: true},
}

// caller submits jobs, asks for their states and cancels them. It stays with one host until
// a call fails.
type caller struct {
	number   int
	hosts    []string
	random   *rand.Rand
	history  *history
	client   *http.Client
	host     int
	jobs     []Job
	jobCount int
	// keys chooses the key of each call.
	keys keyChoice
}

func newCaller(number int, seed uint64, hosts []string, h *history) *caller {
	r := rand.New(rand.NewPCG(seed, uint64(number)+1))
	return &caller{
		number: number, hosts: hosts, random: r, history: h, host: r.IntN(len(hosts)), keys: fixedKey(""),
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}},
	}
}

// run makes calls until the context is cancelled.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.makeNextCall(ctx)
		c.pause(ctx, minPause, maxPause)
	}
	c.client.CloseIdleConnections()
}

func (c *caller) pause(ctx context.Context, least, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(between(c.random, least, most)):
	}
}

// makeNextCall makes one call about an earlier job, or submits a new job.
func (c *caller) makeNextCall(ctx context.Context) {
	part := c.random.Float64()
	if len(c.jobs) == 0 || part < submitRatio {
		c.submit(ctx)
		return
	}
	j := c.jobs[len(c.jobs)-1-c.random.IntN(min(len(c.jobs), recentJobCount))]
	switch {
	case part < submitRatio+repeatRatio:
		c.post(j)
	case part < submitRatio+repeatRatio+statusRatio:
		c.history.addCall(j.ID, c.call(http.MethodGet, path(j), nil))
	default:
		c.history.addCall(j.ID, c.call(http.MethodDelete, path(j), nil))
	}
}

// submit submits a new job until it is accepted or abandoned.
func (c *caller) submit(ctx context.Context) {
	j := c.drawJob()
	c.history.addJob(j)
	defer c.history.closeJob(j.ID)
	for range maxSubmitCalls {
		switch c.post(j) {
		case http.StatusOK:
			c.jobs = append(c.jobs, j)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusUnauthorized:
			if c.random.Float64() < abandonRatio {
				return
			}
		}
		c.pause(ctx, minRetryDelay, maxRetryDelay)
		if ctx.Err() != nil {
			return
		}
	}
}

// post makes one call that submits a job, and returns the status.
func (c *caller) post(j Job) int {
	body, err := platformstandin.JobDocument(j.Spec, j.Steps)
	if err != nil {
		logrus.WithError(err).Error("soak: job not encoded")
		return 0
	}
	call := c.call(http.MethodPost, path(j), body)
	c.history.addCall(j.ID, call)
	return call.Status
}

func path(j Job) string { return "/" + j.Queue + "/" + j.ID }

// jobID returns the ID of the job that was drawn last.
func (c *caller) jobID() string { return fmt.Sprintf("%04x%012x", c.number+1, c.jobCount) }

// drawJob draws a job. Most are small; some fail, and some run for as long as a lease, so
// that a delayed order meets the next run of its task.
func (c *caller) drawJob() Job {
	c.jobCount++
	b := workerstandin.Behaviour{Used: &task.Size{Processors: 250 * (1 + c.random.Int64N(5))}}
	length := between(c.random, 50*time.Millisecond, 1200*time.Millisecond)
	switch c.random.IntN(30) {
	case 0, 1, 2:
		length = between(c.random, 3*time.Second, 8*time.Second)
	case 3, 4:
		b.FailingRuns = maxFailedRuns
	case 5, 6, 7:
		b.FailingRuns = 1
	}
	b.RunTime = length.String()
	j := Job{ID: c.jobID(), Queue: queues[c.random.IntN(len(queues))].Name, Organisation: c.keys.organisation()}
	steps := 1 + c.random.IntN(3)
	if length > longTaskThreshold {
		steps = 1
	}
	for s := range steps {
		step := platformstandin.Step{Tasks: 1 + c.random.IntN(4), Processors: b.Used.Processors, EstimateMS: length.Milliseconds()}
		if s > 0 && c.random.IntN(3) > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	spec, err := b.Payload()
	if err != nil {
		logrus.WithError(err).Error("soak: job not encoded")
	}
	j.Spec = string(spec)
	return j
}

// call makes a call to the caller's host and chooses a host anew after a failure.
func (c *caller) call(method, path string, body []byte) Call {
	key := c.keys.draw()
	call := makeCall(c.client, c.hosts, c.host, method, path, key, body, callTimeout)
	if call.Status == 0 || call.Status >= http.StatusInternalServerError {
		c.host = c.random.IntN(len(c.hosts))
	}
	return call
}

// makeCall makes one call over a persistent connection. It sends the timeout with the call
// and waits a little longer.
func makeCall(client *http.Client, hosts []string, host int, method, path, key string, body []byte, timeout time.Duration) Call {
	call := Call{Method: method, Host: host, Key: key, Begun: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+responseSlack)
	defer cancel()
	sent := make(chan time.Time, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			// If the transport repeats the request on another connection, the first one
			// counts.
			select {
			case sent <- time.Now():
			default:
			}
		}
	}})
	status, state, err := exchange(ctx, client, hosts[host], method, path, key, body, timeout)
	call.Ended, call.Status, call.State = time.Now(), status, state
	if err != nil {
		call.Error, call.Status = err.Error(), 0
		call.Broken = ctx.Err() == nil
	}
	select {
	case call.Sent = <-sent:
	default:
	}
	return call
}

func exchange(ctx context.Context, client *http.Client, host, method, path, key string, body []byte, timeout time.Duration) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	// The transport must not retry calls by itself.
	request.GetBody = nil
	request.Host = virtualHost
	if key != "" && key != noKey {
		request.Header.Set("X-Api-Key", key)
	}
	request.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	r, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	var answer struct {
		State string `json:"state"`
	}
	if slices.Contains([]int{http.StatusOK, http.StatusAccepted}, r.StatusCode) && len(content) > 0 && method == http.MethodGet {
		if err := json.Unmarshal(content, &answer); err != nil {
			return 0, "", errors.Annotate(err, "answer")
		}
	}
	return r.StatusCode, answer.State, nil
}
