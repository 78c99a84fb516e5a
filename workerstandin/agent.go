package workerstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// Faults configures the faults that the stand-in injects. The zero value injects
// none.
type Faults struct {
	// FailEverything makes each attempt end immediately with outcome Broke.
	FailEverything bool
	// Silent makes the agent accept calls and never answer them.
	Silent bool
	// LoseAnswers is the number of upcoming batches that are executed, but whose
	// connection is closed instead of an answer.
	LoseAnswers int
	// ReportLag delays the event of each attempt's end, in nanoseconds.
	ReportLag time.Duration
}

// Agent is the stand-in for a worker's agent. Use New to create one.
type Agent struct {
	id            string
	capacity      task.Size
	checkpoints   *Checkpoints
	usageInterval time.Duration

	mu sync.Mutex
	// instance changes with every Restart; startedAt is when it started.
	instance  string
	startedAt time.Time
	// epoch and session are the highest accepted; number is that of the latest
	// batch of the session, and lastResults its results.
	epoch, session, number uint64
	lastResults            []worker.Result

	attempts map[task.AttemptID]*attempt
	// used is the sum of the declared sizes of the running attempts.
	used     task.Size
	events   []worker.Event
	sequence uint64
	// changed is closed and replaced with every new event.
	changed    chan struct{}
	leaseTimer *time.Timer
	// leaseEnd is when the leases of all attempts lapse, on the agent's clock.
	leaseEnd time.Duration
	// samples is the usage to be reported next.
	samples    []usageSample
	usageTimer *time.Timer
	// journal is nil unless SetJournal was called, and after a failed write.
	journal *json.Encoder
	faults  Faults
	audit   Audit
	closed  bool
}

// New returns an agent without attempts and starts its usage reports.
func New(id string, capacity task.Size) *Agent {
	a := &Agent{
		id:            id,
		capacity:      capacity,
		checkpoints:   &Checkpoints{},
		usageInterval: DefaultUsageInterval,
		audit:         Audit{Worker: id, Starts: map[string]int{}},
	}
	a.reset()
	a.usageTimer = time.AfterFunc(a.usageInterval, a.reportUsage)
	return a
}

// SetCheckpoints replaces the agent's checkpoints, such as by ones that several
// agents share.
func (a *Agent) SetCheckpoints(c *Checkpoints) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkpoints = c
}

// Handler serves the agent's protocol, and under /standin the controls of the
// stand-in.
func (a *Agent) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(a.injectSilence)
		r.Post(worker.AdoptPath, a.adopt)
		r.Post(worker.CommandsPath, a.commands)
		r.Get(worker.EventsPath, a.listEvents)
	})
	r.Put("/standin/faults", a.putFaults)
	r.Get("/standin/audit", a.getAudit)
	r.Post("/standin/restart", a.postRestart)
	r.Post("/standin/events", a.postEvent)
	return r
}

// SetFaults replaces the injected faults.
func (a *Agent) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
}

// Audit returns the agent's counts and the attempts that are running.
func (a *Agent) Audit() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	audit := a.audit
	audit.Starts = map[string]int{}
	for id, n := range a.audit.Starts {
		audit.Starts[id] = n
	}
	for id, t := range a.attempts {
		if t.outcome == "" {
			audit.Running = append(audit.Running, id.String())
		}
	}
	return audit
}

// Restart ends every attempt without an event and drops all state of the
// protocol, like a restart of the worker. The audit and the checkpoints remain.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, t := range a.attempts {
		if t.outcome == "" {
			a.record(Run{Attempt: id.String(), At: time.Now(), Outcome: task.Lost})
		}
	}
	a.stopTimers()
	changed := a.changed
	a.reset()
	close(changed)
}

// EmitEvent emits an arbitrary event, which need not describe a real attempt.
func (a *Agent) EmitEvent(e worker.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.emit(e)
}

// Close ends every attempt without an event.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.stopTimers()
	a.usageTimer.Stop()
}

// reset drops all state of the protocol and begins a new instance.
func (a *Agent) reset() {
	a.instance, a.startedAt = uuid.NewString(), time.Now()
	a.epoch, a.session, a.number, a.lastResults = 0, 0, 0, nil
	a.attempts, a.used = map[task.AttemptID]*attempt{}, task.Size{}
	a.events, a.sequence, a.changed = nil, 0, make(chan struct{})
	a.leaseTimer, a.leaseEnd, a.samples = nil, 0, nil
}

func (a *Agent) stopTimers() {
	for _, t := range a.attempts {
		if t.timer != nil {
			t.timer.Stop()
		}
		if t.outcome == "" {
			t.outcome = task.Lost
		}
	}
	if a.leaseTimer != nil {
		a.leaseTimer.Stop()
	}
}

func (a *Agent) injectSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		silent := a.faults.Silent
		a.mu.Unlock()
		if silent {
			// The server detects that the client has disconnected only after
			// the body has been read.
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *Agent) adopt(w http.ResponseWriter, r *http.Request) {
	var in worker.Adopt
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if in.Worker != "" && in.Worker != a.id {
		http.Error(w, "another worker", http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.Epoch < a.epoch || in.Epoch == a.epoch && in.Session < a.session {
		a.audit.Refused++
		http.Error(w, "older epoch", http.StatusConflict)
		return
	}
	if in.Epoch != a.epoch || in.Session != a.session {
		a.epoch, a.session, a.number, a.lastResults = in.Epoch, in.Session, 0, nil
	}
	if a.clock() > a.leaseEnd {
		a.stopAll()
	}
	writeJSON(w, a.inventory())
}

func (a *Agent) inventory() worker.Inventory {
	i := worker.Inventory{
		Worker: a.id, Instance: a.instance, Capacity: a.capacity, Sequence: a.sequence, Clock: a.clock(),
	}
	for id, t := range a.attempts {
		i.Attempts = append(i.Attempts, worker.Attempt{ID: id, Size: t.size, Outcome: t.outcome, Body: t.body})
	}
	return i
}

func (a *Agent) commands(w http.ResponseWriter, r *http.Request) {
	var in worker.Batch
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.Instance != a.instance {
		writeJSON(w, worker.Results{Restarted: true})
		return
	}
	if in.Epoch != a.epoch || in.Session != a.session || in.Number < a.number {
		a.audit.Refused += max(1, len(in.Commands))
		writeJSON(w, worker.Results{Fenced: max(a.epoch, 1)})
		return
	}
	a.renew(in.Until)
	results := a.execute(in)
	if a.faults.LoseAnswers > 0 {
		a.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, results)
}
