package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	// callersPerCanceller is the number of callers for each canceller.
	callersPerCanceller = 4
	// cancellerTimeout is the timeout of a canceller's calls. It is above the length of all
	// faults, as the kernel of a paused host accepts calls, which the host handles once it
	// continues.
	cancellerTimeout = 10 * time.Second
	// cancelledRunTime is the run time of the tasks of most of a canceller's jobs, which would
	// run into the next calm stretch. The tasks of the other jobs start one after another.
	cancelledRunTime   = 90 * time.Second
	chainedRunTime     = 3 * time.Second
	chainLength        = 8
	chainRatio         = 0.2
	maxPendingJobs     = 12
	maxCopies          = 3
	maxCancelLatency   = 5 * time.Millisecond
	disturbedHostRatio = 0.7
	// disturbedMemory is how long after the end of its fault a host counts as disturbed.
	disturbedMemory = 300 * time.Millisecond
	// Bounds of the pause between two jobs of a canceller.
	minCancellerPause, maxCancellerPause = 100 * time.Millisecond, 900 * time.Millisecond
	// finalCancelTime is how long a canceller tries to cancel its jobs after the faults.
	finalCancelTime = 15 * time.Second
)

// canceller submits jobs and cancels each at once, often at a host that does not know that
// another one has become the owner.
type canceller struct {
	*caller
	pending sync.WaitGroup
	// slots bounds the jobs in progress.
	slots chan struct{}
}

func newCanceller(number int, seed uint64, hosts []string, h *history) *canceller {
	return &canceller{caller: newCaller(number, seed, hosts, h), slots: make(chan struct{}, maxPendingJobs)}
}

// run makes jobs until the context is cancelled, and returns when each has been cancelled.
func (c *canceller) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case c.slots <- struct{}{}:
			drawn := c.drawCancellation()
			c.pending.Go(func() {
				drawn.run(ctx)
				<-c.slots
			})
		case <-ctx.Done():
		}
		c.pause(ctx, minCancellerPause, maxCancellerPause)
	}
	c.pending.Wait()
	c.client.CloseIdleConnections()
}

// drawCancellation draws a job and how it is cancelled.
func (c *canceller) drawCancellation() *cancellation {
	drawn := &cancellation{
		job: c.drawCancelledJob(), hosts: c.hosts, random: rand.New(rand.NewPCG(c.random.Uint64(), 0)), history: c.history, client: c.client, key: c.keys.draw(),
		overtaking: c.random.IntN(3) == 0, submissions: 1, cancels: 1,
	}
	if c.random.IntN(3) == 0 {
		drawn.submissions, drawn.cancels = 1+c.random.IntN(maxCopies), 1+c.random.IntN(maxCopies)
	}
	return drawn
}

func (c *canceller) drawCancelledJob() Job {
	c.jobCount++
	b := workerstandin.Behaviour{Used: &task.Size{Processors: 250}}
	length, steps := cancelledRunTime, 1
	if c.random.Float64() < chainRatio {
		length, steps = chainedRunTime, chainLength
	}
	b.RunTime = length.String()
	spec, err := b.Payload()
	if err != nil {
		logrus.WithError(err).Error("soak: job not encoded")
	}
	j := Job{ID: c.jobID(), Queue: queues[c.random.IntN(len(queues))].Name, Spec: string(spec)}
	for s := range steps {
		step := platformstandin.Step{Tasks: 1 + c.random.IntN(2), Processors: b.Used.Processors, EstimateMS: length.Milliseconds()}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// cancellation is the calls that submit a job and cancel it at once.
type cancellation struct {
	job     Job
	hosts   []string
	random  *rand.Rand
	history *history
	client  *http.Client
	key     string
	// overtaking reports whether the job is cancelled before its submission is answered, and
	// submitted again after the acknowledgement. Otherwise it is cancelled once accepted.
	overtaking bool
	// submissions and cancels are the numbers of copies that are sent at once.
	submissions, cancels int
	calls                sync.WaitGroup
}

// run returns when all calls have ended.
func (c *cancellation) run(ctx context.Context) {
	c.history.addJob(c.job)
	defer c.history.closeJob(c.job.ID)
	defer c.calls.Wait()
	body, err := platformstandin.JobDocument(c.job.Spec, c.job.Steps)
	if err != nil {
		logrus.WithError(err).Error("soak: job not encoded")
		return
	}
	if !c.overtaking {
		host := c.submit(ctx, body)
		time.Sleep(between(c.random, 0, maxCancelLatency))
		c.cancel(ctx, host)
		return
	}
	hosts := c.drawHosts(c.submissions, -1, c.random.Float64() < disturbedHostRatio)
	c.send(hosts, http.MethodPost, body)
	time.Sleep(between(c.random, 0, maxCancelLatency))
	c.cancel(ctx, hosts[0])
	c.send(c.drawHosts(1, hosts[0], false), http.MethodPost, body)
}

// submit submits the job until it is accepted, at most maxSubmitCalls times, and returns the
// host that was called last.
func (c *cancellation) submit(ctx context.Context, body []byte) int {
	host := -1
	for n := 0; n < maxSubmitCalls && ctx.Err() == nil; n++ {
		hosts := c.drawHosts(c.submissions, -1, false)
		host = hosts[0]
		isAccepted := func(call Call) bool { return call.Status == http.StatusOK }
		if call, ok := first(c.send(hosts, http.MethodPost, body), isAccepted); ok {
			return call.Host
		}
		time.Sleep(between(c.random, minRetryDelay, maxRetryDelay))
	}
	return host
}

// cancel cancels the job at other hosts than the given one until that is acknowledged. Once
// the context is cancelled it gives up after finalCancelTime.
func (c *cancellation) cancel(ctx context.Context, except int) {
	var end time.Time
	for {
		hosts := c.drawHosts(c.cancels, except, c.random.Float64() < disturbedHostRatio)
		if _, ok := first(c.send(hosts, http.MethodDelete, nil), isCancelAcknowledged); ok {
			return
		}
		if ctx.Err() != nil && end.IsZero() {
			end = time.Now().Add(finalCancelTime)
		}
		if !end.IsZero() && time.Now().After(end) {
			return
		}
		time.Sleep(between(c.random, minRetryDelay, maxRetryDelay))
	}
}

// send makes a call about the job to each of the hosts at once, and returns a channel that
// has their outcomes and is closed after the last one.
func (c *cancellation) send(hosts []int, method string, body []byte) <-chan Call {
	outcomes := make(chan Call, len(hosts))
	var copies sync.WaitGroup
	for _, host := range hosts {
		copies.Go(func() {
			call := makeCall(c.client, c.hosts, host, method, path(c.job), c.key, body, cancellerTimeout)
			c.history.addCall(c.job.ID, call)
			outcomes <- call
		})
	}
	c.calls.Go(func() {
		copies.Wait()
		close(outcomes)
	})
	return outcomes
}

// first waits for the first outcome with a property. It reports false if none has it.
func first(outcomes <-chan Call, has func(Call) bool) (Call, bool) {
	for call := range outcomes {
		if has(call) {
			return call, true
		}
	}
	return Call{}, false
}

// drawHosts draws up to n hosts other than the given one. Disturbed hosts come first or
// last.
func (c *cancellation) drawHosts(n, except int, disturbedFirst bool) []int {
	hosts := c.random.Perm(len(c.hosts))
	if len(hosts) > 1 {
		hosts = slices.DeleteFunc(hosts, func(host int) bool { return host == except })
	}
	disturbed := c.history.disturbedHosts(time.Now().Add(-disturbedMemory))
	rank := func(host int) int {
		if slices.Contains(disturbed, host) == disturbedFirst {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(hosts, func(x, y int) int { return cmp.Compare(rank(x), rank(y)) })
	return hosts[:min(n, len(hosts))]
}
