package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
)

// Parameters of the load.
const (
	// loadSeed is the random seed of every load.
	loadSeed = 20261203
	// loadDeadline is the time from sending a request to its deadline.
	loadDeadline = 15 * time.Second
	// deadlineGrace bounds how late after the deadline an answer may arrive.
	deadlineGrace = time.Second
	// One in longRunOneIn batch runs takes from longRunTime to twice that, so that
	// failures occur while it runs.
	longRunOneIn = 5
	longRunTime  = 3 * time.Second
	// tryTimeout is how long a caller of a request waits for one entry host before
	// it tries another: a frozen host never answers.
	tryTimeout = 6 * time.Second
	// longTryTimeout is the same for batch runs and gangs, which may run for long.
	longTryTimeout = 12 * time.Second
	// loadTeams is the number of teams, enough to spread work over many partitions.
	loadTeams = 12
	// One in duplicateOneIn pieces of work, idempotent requests excepted, is sent
	// by two callers with the same ID at the same time.
	duplicateOneIn = 5
	// callerRetryInterval is the delay before a caller tries again.
	callerRetryInterval = 100 * time.Millisecond
)

// loadTeam returns the name of a team of the load.
func loadTeam(i int) string { return fmt.Sprintf("team-%d", i) }

// load simulates callers that submit work of every kind until it is stopped.
type load struct {
	cell     *cell
	entries  []string
	balancer balancer
	cancel   context.CancelFunc
	// stopProbes ends the health checks of the entry hosts.
	stopProbes context.CancelFunc
	wait       sync.WaitGroup

	mu    sync.Mutex
	calls []*call
	// exchanges holds the exchanges of all work but idempotent requests.
	exchanges []exchange
}

// call is the history of one piece of work at its caller.
type call struct {
	team       string
	id         string
	kind       task.Kind
	idempotent bool
	tasks      int
	// duplicated reports whether two callers send the ID at the same time.
	duplicated bool
	// client distinguishes the callers of one ID.
	client int
	// retriesNotRun reports whether the caller retries after NotRun.
	retriesNotRun bool
	sent          time.Time
	answered      time.Time
	firstAnswer   caller.Answer
	firstAnswered time.Time
	// connectionErr is the last error of a connection that broke after the request
	// was sent, or nil.
	connectionErr error
	// idleCloses holds the times at which a try failed because the host closed the
	// idle connection that the try was sent over.
	idleCloses []time.Time
	// answer is the last answer; its State is empty if there was none.
	answer caller.Answer
	// retrySent is when the first try after the latest answer was sent; it is
	// before answered if there was no such try.
	retrySent time.Time
	// accepted reports whether the work was ever answered as accepted or running.
	accepted bool
}

// loadCommand starts and stops the callers:
//
//	load start RATE [ANSWERS]   send RATE pieces of work a second, and wait until
//	                            ANSWERS of them have been answered as Ran
//	load stop                   stop, and wait for the final answers
func loadCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "start":
		perSecond, err := strconv.Atoi(args[1])
		ts.Check(err)
		ts.Logf("load: seed %d", loadSeed)
		c.startLoad(perSecond)
		if len(args) > 2 {
			reachedCommand(ts, false, args[2:])
		}
	case "stop":
		c.stopLoads()
	default:
		ts.Fatalf("usage: load start|stop")
	}
}

func (c *cell) startLoad(perSecond int) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cell: c, entries: c.entries, cancel: cancel}
	c.loads = append(c.loads, l)
	l.probeEntries()
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		random := rand.New(rand.NewPCG(loadSeed, uint64(len(c.loads))))
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.startWork(fmt.Sprintf("work-%d-%d", len(c.loads), n), random)
		}
	}()
}

func (c *cell) stopLoads() {
	for _, l := range c.loads {
		l.stop()
	}
}

// probeEntries checks the health of the entry hosts until all calls have ended.
func (l *load) probeEntries() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stopProbes = cancel
	for _, e := range l.entries {
		go l.balancer.probe(ctx, e, l.cell.addresses["ops"+e[1:]])
	}
}

func (l *load) stop() {
	l.cancel()
	l.wait.Wait()
	l.stopProbes()
}

// startWork draws one piece of work and starts one caller for it, or two.
func (l *load) startWork(id string, random *rand.Rand) {
	a := &call{team: loadTeam(random.IntN(loadTeams)), id: id, tasks: 1, retriesNotRun: random.IntN(4) > 0, sent: time.Now()}
	w := submission{Team: a.team, ID: id, Tasks: 1, RunTime: time.Duration(20+random.IntN(200)) * time.Millisecond}
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		a.kind, a.idempotent = task.Request, true
	case 4, 5, 6:
		a.kind = task.Request
	case 7, 8:
		a.kind, a.idempotent = task.Batch, true
		if random.IntN(longRunOneIn) == 0 {
			w.RunTime = longRunTime + time.Duration(random.Int64N(int64(longRunTime)))
		}
	default:
		a.kind, a.idempotent, a.tasks = task.AllAtOnce, true, 4
	}
	w.Kind, w.Idempotent, w.Tasks = a.kind, a.idempotent, a.tasks
	w.Deadline = a.sent.Add(loadDeadline)
	if a.kind != task.Request {
		w.Deadline = time.Time{}
	}
	if a.kind == task.Request && a.idempotent || random.IntN(duplicateOneIn) > 0 {
		l.startCall(a, w, random.Perm(len(l.entries)))
		return
	}
	a.duplicated = true
	duplicate := *a
	duplicate.client = 1
	l.startCall(a, w, random.Perm(len(l.entries)))
	l.startCall(&duplicate, w, random.Perm(len(l.entries)))
}

// startCall starts a caller that submits work until its final answer.
func (l *load) startCall(a *call, w submission, entries []int) {
	l.mu.Lock()
	l.calls = append(l.calls, a)
	l.mu.Unlock()
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		l.submitUntilFinal(a, w, entries)
	}()
}

// submitUntilFinal submits a piece of work through one entry host after another until
// its final answer, its deadline (for a request) or waitTimeout (for other work).
func (l *load) submitUntilFinal(a *call, w submission, entries []int) {
	limit := a.sent.Add(waitTimeout)
	if a.kind == task.Request {
		limit = a.sent.Add(loadDeadline + deadlineGrace)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		if a.kind == task.Request && time.Since(a.sent) > loadDeadline {
			return
		}
		entry := l.balancer.choose(l.entries, entries, i)
		w.FirstTry = i == 0 && !a.duplicated
		sent := l.recordSent(a)
		answer, err := l.submitWithTimeout(ctx, entry, w)
		if err == nil && l.recordAnswer(a, sent, answer) {
			return
		}
		l.recordError(a, err)
		select {
		case <-ctx.Done():
		case <-time.After(callerRetryInterval):
		}
	}
}

// recordSent records that a try is being sent and returns the time.
func (l *load) recordSent(a *call) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !a.retrySent.After(a.answered) {
		a.retrySent = now
	}
	return now
}

// submitWithTimeout submits a piece of work through one entry host, with a timeout
// shorter than the deadline.
func (l *load) submitWithTimeout(ctx context.Context, entry string, w submission) (caller.Answer, error) {
	limit := longTryTimeout
	if w.Kind == task.Request {
		limit = tryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.submit(ctx, entry, w)
}

// idleClosedError is the error of a request that was sent over an idle connection
// as the server closed it, so the server may never have read it (RFC 9112, section
// 9.6). checkConnections decides whether it had.
type idleClosedError struct{ error }

func (e idleClosedError) Unwrap() error { return e.error }

// recordError records a connection that broke while a request was in flight. A
// refused connection never carried the request, and a timeout is not a break.
func (l *load) recordError(a *call, err error) {
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var closed idleClosedError
	if errors.As(err, &closed) {
		a.idleCloses = append(a.idleCloses, time.Now())
		return
	}
	a.connectionErr = err
}

// recordAnswer records an answer and reports whether the caller is done.
func (l *load) recordAnswer(a *call, sent time.Time, answer caller.Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.answer, a.answered = answer, time.Now()
	if a.kind != task.Request || !a.idempotent {
		l.exchanges = append(l.exchanges, exchange{
			id: a.id, client: a.client, sent: sent, answered: a.answered, state: answer.State,
			worker: fmt.Sprint(answer.Workers), body: fmt.Sprintf("%x", xxhash.Sum64(bytes.Join(answer.Bodies, nil))),
		})
	}
	if a.firstAnswer.State == "" {
		a.firstAnswer, a.firstAnswered = a.answer, a.answered
	}
	a.accepted = a.accepted || answer.State == task.Accepted || answer.State == task.Running
	switch {
	case answer.State == task.NotRun:
		return !a.retriesNotRun
	case answer.State == task.Unknown:
		// The outcome may become known later: the caller retries if the answer
		// has RetryAfter.
		return answer.RetryAfter == 0
	}
	return answer.State.Final()
}

// submission is the body of a caller's request.
type submission struct {
	Team       string
	ID         string
	Kind       task.Kind
	Tasks      int
	Idempotent bool
	FirstTry   bool
	RunTime    time.Duration
	Deadline   time.Time
}

func (w submission) body() ([]byte, error) {
	payload, err := payloadOf(w.ID)
	if err != nil {
		return nil, err
	}
	return json.Marshal(caller.Work{
		ID: w.ID, Kind: w.Kind, Tasks: w.Tasks, Idempotent: w.Idempotent, FirstTry: w.FirstTry,
		RunTime: quantity.Duration(w.RunTime), Deadline: w.Deadline, Payload: payload,
		Size: quantity.Size{Processors: 0.5, Memory: quantity.Bytes(64 * task.Mebibyte)},
	})
}

// submit sends a submission and waits for the final answer.
func (l *load) submit(ctx context.Context, entry string, w submission) (caller.Answer, error) {
	body, err := w.body()
	if err != nil {
		return caller.Answer{}, err
	}
	return l.do(ctx, entry, w.Team, http.MethodPost, "/v1/work/?wait", body)
}

// submitNoWait sends a submission and returns the first answer.
func (l *load) submitNoWait(entry string, w submission) (caller.Answer, error) {
	body, err := w.body()
	if err != nil {
		return caller.Answer{}, err
	}
	return l.request(entry, w.Team, http.MethodPost, "/v1/work/", body)
}

func (l *load) request(entry, team, method, path string, body []byte) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadDeadline)
	defer cancel()
	return l.do(ctx, entry, team, method, path, body)
}

func (l *load) do(ctx context.Context, entry, team, method, path string, body []byte) (caller.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+l.cell.addresses[entry]+path, bytes.NewReader(body))
	if err != nil {
		return caller.Answer{}, err
	}
	request.Header.Set("Authorization", "Bearer t-"+team)
	var reused bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused },
	}))
	response, err := http.DefaultClient.Do(request)
	if errors.Is(err, io.EOF) && reused {
		return caller.Answer{}, idleClosedError{err}
	}
	if err != nil {
		return caller.Answer{}, err
	}
	defer response.Body.Close()
	var answer caller.Answer
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}
