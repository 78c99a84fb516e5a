package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/caller"
)

// Pace of a caller.
const (
	// retryInterval is the delay before a caller sends its work again.
	retryInterval = 100 * time.Millisecond
	// maxWait bounds how long a caller without a deadline waits.
	maxWait = 14 * time.Second
)

// submission is a piece of work and the answer that its caller received.
type submission struct {
	work        caller.Work
	submittedAt time.Time
	answeredAt  time.Time
	answer      caller.Answer
	err         error
}

// final reports whether the caller has received a final answer.
func (p submission) final() bool {
	return p.err == nil && p.answer.State != "" && p.answer.State.Final()
}

// callers submits work and records the answers. Use newCallers to make one.
type callers struct {
	cell    *cell
	started time.Time
	wait    sync.WaitGroup

	mu          sync.Mutex
	submissions []*submission
	// removed holds the entry hosts that the load balancer no longer uses.
	removed map[string]bool
}

func newCallers(c *cell) *callers {
	return &callers{cell: c, started: time.Now(), removed: map[string]bool{}}
}

// submit submits a piece of work and awaits its final answer in the background.
func (c *callers) submit(w caller.Work) {
	p := &submission{work: w, submittedAt: time.Now()}
	c.mu.Lock()
	c.submissions = append(c.submissions, p)
	number := len(c.submissions)
	c.mu.Unlock()
	c.wait.Go(func() {
		answer, err := c.await(w, number)
		c.mu.Lock()
		defer c.mu.Unlock()
		p.answer, p.err, p.answeredAt = answer, err, time.Now()
	})
}

// await sends the work to the entry hosts in turn until the answer is final or
// the time has run out.
func (c *callers) await(w caller.Work, number int) (caller.Answer, error) {
	limit := time.Now().Add(maxWait)
	if !w.Deadline.IsZero() {
		limit = w.Deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	w.FirstTry = true
	var last caller.Answer
	for {
		answer, err := c.request(ctx, http.MethodPost, "/v1/work/?wait", number, w)
		if err == nil {
			last = answer
		}
		if err == nil && (answer.State.Final() && answer.RetryAfter == 0) {
			return answer, nil
		}
		w.FirstTry = false
		number++
		select {
		case <-ctx.Done():
			return last, err
		case <-time.After(retryInterval):
		}
	}
}

// request sends an HTTP request to the entry host that a load balancer would
// choose.
func (c *callers) request(ctx context.Context, method, path string, number int, body any) (caller.Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return caller.Answer{}, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.entryAddress(number)+path, bytes.NewReader(data))
	if err != nil {
		return caller.Answer{}, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+teamToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return caller.Answer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	var answer caller.Answer
	return answer, errors.Trace(json.NewDecoder(response.Body).Decode(&answer))
}

// entryAddress returns the address of an entry host that has not been removed.
func (c *callers) entryAddress(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for i := range entryHosts {
		name := hostName(i)
		if !c.removed[name] {
			addresses = append(addresses, c.cell.hosts[name].callers)
		}
	}
	return addresses[number%len(addresses)]
}

// removeHost removes an entry host from the load balancer.
func (c *callers) removeHost(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removed[name] = true
}

// all returns every piece of work in the order of submission.
func (c *callers) all() []submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	submissions := make([]submission, len(c.submissions))
	for i, p := range c.submissions {
		submissions[i] = *p
	}
	return submissions
}

// cancel cancels a piece of work and returns its answer.
func (c *callers) cancel(id string) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	return c.request(ctx, http.MethodDelete, "/v1/work/"+id, 0, nil)
}
