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
	// maxFailedRuns is how many runs of a task may fail.
	maxFailedRuns = 3
	// callTimeout is what callers tell that they wait.
	callTimeout = 3 * time.Second
	// responseSlack is how much longer they wait for an answer that is late.
	responseSlack = time.Second
	// maxSubmitCalls is how often a caller hands one job in at most. After an answer that it was
	// rejected, which must be true from then on, so many give up.
	maxSubmitCalls = 8
	abandonRatio   = 0.7
	// A caller that is turned away comes back after so long.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, 600 * time.Millisecond
	// Between two calls a caller pauses, so that half of the processors are at work.
	minPause, maxPause = 200 * time.Millisecond, 1400 * time.Millisecond
	// Of all calls so many hand new jobs in, repeat such a call, ask for a state, or cancel.
	submitRatio, repeatRatio, statusRatio = 0.55, 0.08, 0.25
	// longTaskThreshold is above what a task of a job of several steps takes, so that the jobs of
	// a run end soon after its faults.
	longTaskThreshold = 2 * time.Second
	// recentJobCount is from how many of its last jobs a caller chooses.
	recentJobCount = 12
)

// queues are those of the first catalogue.
var queues = []platformstandin.Queue{
	{Name: "plain", Attempts: maxFailedRuns},
	{Name: "advised", Attempts: maxFailedRuns, Advised: true},
}

// caller hands jobs in and asks for them. It keeps to one host while its connection
// lasts.
type caller struct {
	number   int
	hosts    []string
	random   *rand.Rand
	history  *history
	client   *http.Client
	host     int
	jobs     []Job
	jobCount int
}

func newCaller(number int, seed uint64, hosts []string, h *history) *caller {
	r := rand.New(rand.NewPCG(seed, uint64(number)+1))
	return &caller{
		number: number, hosts: hosts, random: r, history: h, host: r.IntN(len(hosts)),
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}},
	}
}

// run makes calls until the context ends.
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

// makeNextCall makes one call, or hands one job in.
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

// submit hands a new job in until it is accepted or the caller gives up.
func (c *caller) submit(ctx context.Context) {
	j := c.drawJob()
	c.history.addJob(j)
	defer c.history.closeJob(j.ID)
	for range maxSubmitCalls {
		switch c.post(j) {
		case http.StatusOK:
			c.jobs = append(c.jobs, j)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
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

// post hands a job in once, and returns the status.
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

// drawJob draws a job. Most are small; some fail, and some take as long as a lease, so
// that an order that comes late meets the next run.
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
	j := Job{ID: fmt.Sprintf("%04x%012x", c.number+1, c.jobCount), Queue: queues[c.random.IntN(len(queues))].Name}
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

// call makes a call to the caller's host, and goes to another after it failed.
func (c *caller) call(method, path string, body []byte) Call {
	call := makeCall(c.client, c.hosts, c.host, method, path, body)
	if call.Status == 0 || call.Status >= http.StatusInternalServerError {
		c.host = c.random.IntN(len(c.hosts))
	}
	return call
}

// makeCall makes one call over a connection that stays open.
func makeCall(client *http.Client, hosts []string, host int, method, path string, body []byte) Call {
	call := Call{Method: method, Host: host, Begun: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+responseSlack)
	defer cancel()
	sent := make(chan time.Time, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			// A repeat by the transport on another connection counts from the first.
			select {
			case sent <- time.Now():
			default:
			}
		}
	}})
	status, state, err := exchange(ctx, client, hosts[host], method, path, body)
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

func exchange(ctx context.Context, client *http.Client, host, method, path string, body []byte) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	// The transport must not repeat calls by itself.
	request.GetBody = nil
	request.Host = virtualHost
	request.Header.Set("Timeout-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
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
