package scheduler_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/tenure"
	"github.com/vanillaquay/vanillaquay/timer"
	"github.com/vanillaquay/vanillaquay/workload"
)

// sharedStore is a store in memory for several hosts.
type sharedStore struct {
	mu      sync.Mutex
	rows    map[string]ledger.Row
	version ledger.Version
}

func rowKey(r ledger.Row) string { return r.Table + "/" + r.Part + "/" + r.Key }

func (s *sharedStore) apply(t ledger.Transaction) (ledger.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []ledger.Row
	for _, e := range t.Expected {
		if s.rows[rowKey(e)].Version != e.Version {
			conflicts = append(conflicts, s.rows[rowKey(e)])
		}
	}
	if len(conflicts) > 0 {
		return 0, &ledger.ConflictError{Rows: conflicts}
	}
	s.version++
	for _, w := range t.Writes {
		w.Version = s.version
		s.rows[rowKey(w)] = w
	}
	for _, r := range t.Removes {
		delete(s.rows, rowKey(r))
	}
	return s.version, nil
}

// hostStore is the store as one host reaches it: with lost answers, and late transactions
// while it is cut off.
type hostStore struct {
	*sharedStore
	cutMu sync.Mutex
	// cut is closed when the host reaches the store again; nil if it does.
	cut chan struct{}
}

func (s *hostStore) setCut(cut bool) {
	s.cutMu.Lock()
	defer s.cutMu.Unlock()
	switch {
	case cut && s.cut == nil:
		s.cut = make(chan struct{})
	case !cut && s.cut != nil:
		close(s.cut)
		s.cut = nil
	}
}

// wait waits until the host reaches the store.
func (s *hostStore) wait(ctx context.Context) error {
	s.cutMu.Lock()
	cut := s.cut
	s.cutMu.Unlock()
	if cut == nil {
		return nil
	}
	select {
	case <-cut:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *hostStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	if err := s.wait(ctx); err != nil {
		if rand.N(2) == 0 {
			// The request is on its way and takes effect if its condition still holds.
			_, _ = s.apply(t)
		}
		return 0, err
	}
	timer.Sleep(ctx, rand.N(15*time.Millisecond))
	version, err := s.apply(t)
	if rand.N(10) == 0 {
		return 0, errors.New("no answer")
	}
	return version, err
}

func (s *hostStore) Rows(ctx context.Context, table, part, from string, limit int) (ledger.Page, error) {
	if err := s.wait(ctx); err != nil {
		return ledger.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var page ledger.Page
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		r := s.rows[key]
		if r.Table != table || r.Part != part || r.Key < from {
			continue
		}
		if len(page.Rows) == limit {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, r)
	}
	page.Version = s.version
	return page, nil
}

func (s *hostStore) Feed(ctx context.Context, _ string, _ ledger.Version, wait time.Duration) (ledger.Page, error) {
	timer.Sleep(ctx, wait)
	return ledger.Page{}, ledger.ErrHistoryDropped
}

// platformModel is the platform in real time: workers, callers and hosts, with random faults
// until it is calm.
type platformModel struct {
	c     *qt.C
	store *sharedStore
	hosts []*modelHost

	mu      sync.Mutex
	workers map[string]*modelWorker
	jobs    map[string]*modelJob
	calm    bool
	// failures holds what broke a rule.
	failures []string
	// starts and tenures count what happened.
	starts, tenures int
}

// modelHost is an entry host: calls of its callers go to whichever owner it believes in.
type modelHost struct {
	model     *platformModel
	name      string
	store     *hostStore
	forwarder *intake.Forwarder
	mu        sync.Mutex
	owner     *scheduler.Owner
	stop      context.CancelFunc
	ended     chan struct{}
}

type modelJob struct {
	workload.Job
	// acknowledgedAt is when its cancellation was acknowledged, by the owner with the token
	// acknowledgedBy; 0 is not yet.
	acknowledgedAt time.Duration
	acknowledgedBy int64
	// attempts and rejected count the submissions through a forwarder.
	attempts, rejected int
}

type modelWorker struct {
	id     string
	booted time.Duration
	life   int64
	fence  int64
	until  int64
	runs   map[workload.TaskID]*modelRun
	// refused holds the highest run of each task that must not start any more.
	refused map[workload.TaskID]int
	ended   []cell.EndedRun
	lastEnd int64
}

type modelRun struct {
	number    int
	startedAt time.Duration
	stopsAt   time.Duration
	percent   float64
}

func (w *modelWorker) clock() int64 { return (clock.Now() - w.booted).Milliseconds() }

// isMeant reports whether a call is for this life of the worker.
func (w *modelWorker) isMeant(i platform.Instance) bool { return i.Life == 0 || i.Life == w.life }

func (w *modelWorker) end(id workload.TaskID, outcome cell.Outcome) {
	r := w.runs[id]
	delete(w.runs, id)
	w.refused[id] = max(w.refused[id], r.number)
	w.lastEnd++
	w.ended = append(w.ended, cell.EndedRun{Number: w.lastEnd, Task: id, Run: r.number, Outcome: outcome})
}

func (m *platformModel) isCalm() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calm
}

// lose reports whether something is lost.
func (m *platformModel) lose(oneIn int) bool { return rand.N(oneIn) == 0 && !m.isCalm() }

func (m *platformModel) SetFleet([]workload.Worker) {}

// Start implements scheduler.Workers.
func (m *platformModel) Start(ctx context.Context, s platform.StartOrder) cell.Answer {
	switch {
	case m.lose(4):
		time.AfterFunc(rand.N(4*time.Second), func() { m.execute(s, true) })
		<-ctx.Done()
		return cell.NoAnswer
	case m.lose(6):
		m.execute(s, false)
		<-ctx.Done()
		return cell.NoAnswer
	default:
		timer.Sleep(ctx, rand.N(30*time.Millisecond))
		return m.execute(s, false)
	}
}

func (m *platformModel) execute(s platform.StartOrder, late bool) cell.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, j, now := m.workers[s.Worker], m.jobs[s.Task.Job], clock.Now()
	switch {
	case !late && !w.isMeant(s.Instance):
		return cell.OtherLife
	case s.FencingToken < w.fence:
		return cell.Fenced
	case w.clock() > s.LeaseUntil:
		return cell.TooLate
	case s.Run <= w.refused[s.Task]:
		return cell.Superseded
	}
	w.fence, w.until = s.FencingToken, max(w.until, min(s.LeaseUntil, w.clock()+maxHold.Milliseconds()))
	if r := w.runs[s.Task]; r != nil {
		if r.number == s.Run {
			return cell.Accepted
		}
		return cell.Superseded
	}
	// A copy of the order may have been on its way when the cancellation was acknowledged.
	const inFlight = time.Second
	switch {
	case j.attempts == j.rejected:
		m.failures = append(m.failures, fmt.Sprintf("REFUSED: %s starts", s.Task))
	case s.Spec != j.Spec:
		m.failures = append(m.failures, fmt.Sprintf("UNASKED: %s starts with spec %q", s.Task, s.Spec))
	case j.acknowledgedAt != 0 && !late && s.FencingToken >= j.acknowledgedBy && now > j.acknowledgedAt+inFlight,
		j.acknowledgedAt != 0 && !late && now > j.acknowledgedAt+cancelTime:
		m.failures = append(m.failures, fmt.Sprintf("UNASKED: %s starts %s after its cancellation", s.Task, now-j.acknowledgedAt))
	}
	m.starts++
	w.runs[s.Task] = &modelRun{number: s.Run, startedAt: now}
	return cell.Accepted
}

// Stop implements scheduler.Workers.
func (m *platformModel) Stop(ctx context.Context, i platform.Instance, id workload.TaskID, run int, fence int64) cell.Answer {
	if m.lose(4) {
		<-ctx.Done()
		return cell.NoAnswer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[i.Worker]
	if !w.isMeant(i) {
		return cell.OtherLife
	}
	if fence < w.fence {
		return cell.Fenced
	}
	w.fence = fence
	w.refused[id] = max(w.refused[id], run)
	if r := w.runs[id]; r != nil && r.number == run && r.stopsAt == 0 {
		r.stopsAt = clock.Now() + rand.N(trialOptions().StopTime)
	}
	return cell.Accepted
}

func (m *platformModel) Pace(context.Context, platform.Instance, workload.TaskID, int, int64, int) cell.Answer {
	return cell.Accepted
}

// Hold implements scheduler.Workers.
func (m *platformModel) Hold(ctx context.Context, i platform.Instance, fence, acked, until int64, wait time.Duration) (platform.HoldResponse, error) {
	if m.lose(6) {
		timer.Sleep(ctx, wait+600*time.Millisecond)
		return platform.HoldResponse{}, platform.ErrNoAnswer
	}
	for end := clock.Now() + wait; ; {
		r, err := m.report(i, fence, acked, until)
		if err != nil || len(r.Report.Ended) > 0 || clock.Now() >= end || !timer.Sleep(ctx, 20*time.Millisecond) {
			return r, err
		}
	}
}

func (m *platformModel) report(i platform.Instance, fence, acked, until int64) (platform.HoldResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[i.Worker]
	if !w.isMeant(i) {
		return platform.HoldResponse{}, cell.OtherLifeError{Life: w.life}
	}
	if fence < w.fence {
		return platform.HoldResponse{}, cell.ErrFenced
	}
	w.fence = fence
	w.until = max(w.until, min(until, w.clock()+maxHold.Milliseconds()))
	w.ended = slices.DeleteFunc(w.ended, func(e cell.EndedRun) bool { return e.Number <= acked })
	r := cell.Report{Life: w.life, Ended: slices.Clone(w.ended), Complete: true}
	for id, run := range w.runs {
		if run.stopsAt == 0 {
			r.Running = append(r.Running, cell.ActiveRun{Task: id, Run: run.number, Percent: run.percent})
		}
	}
	return platform.HoldResponse{Clock: w.clock(), Report: r}, nil
}

// advanceWorkers ends runs that have lapsed or stopped.
func (m *platformModel) advanceWorkers(ctx context.Context) {
	for timer.Sleep(ctx, 20*time.Millisecond) {
		m.mu.Lock()
		for _, w := range m.workers {
			for id, r := range w.runs {
				r.percent += 0.1
				switch {
				case w.clock() > w.until:
					w.end(id, cell.EndedLapsed)
				case r.stopsAt != 0 && clock.Now() >= r.stopsAt:
					w.end(id, cell.EndedStopped)
				case rand.N(500) == 0:
					w.end(id, cell.EndedFailed)
				}
			}
		}
		m.mu.Unlock()
	}
}

// restart starts a worker again under its ID.
func (m *platformModel) restart(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[id]
	m.workers[id] = newModelWorker(id, w.life+1)
	m.announce(m.workers[id])
}

func newModelWorker(id string, life int64) *modelWorker {
	return &modelWorker{id: id, life: life, booted: clock.Now(), runs: map[workload.TaskID]*modelRun{}, refused: map[workload.TaskID]int{}}
}

func (m *platformModel) announce(w *modelWorker) {
	value := fmt.Sprintf(`{"service":"S","addr":"127.0.0.1:1","state":"ready","slots":64,"capacity":{"cpu":64000,"mem_mb":64000},"born":%d}`, w.life)
	_, err := m.store.apply(ledger.Transaction{Writes: []ledger.Row{{Table: platform.WorkerTable, Key: w.id, Value: []byte(value)}}})
	m.c.Check(err, qt.IsNil)
}

func (h *modelHost) AdviceHosts() []string                        { return nil }
func (h *modelHost) SendQuestion(string, scheduler.Question) bool { return false }

// Reply implements scheduler.Members.
func (h *modelHost) Reply(host string, a intake.Answer) {
	i := slices.IndexFunc(h.model.hosts, func(other *modelHost) bool { return other.name == host })
	if !h.model.lose(10) {
		h.model.hosts[i].forwarder.HandleAnswer(a)
	}
}

// Send implements intake.Sender. The call goes to a random owner that still runs, which may
// have been replaced, and may arrive late.
func (h *modelHost) Send(call intake.Call) bool {
	var owners []*scheduler.Owner
	for _, other := range h.model.hosts {
		other.mu.Lock()
		if other.owner != nil {
			owners = append(owners, other.owner)
		}
		other.mu.Unlock()
	}
	if len(owners) == 0 {
		return false
	}
	o, delay := owners[rand.N(len(owners))], time.Duration(0)
	if h.model.lose(4) {
		delay = rand.N(2 * time.Second)
	}
	time.AfterFunc(delay, func() { o.HandleCall(h.name, call) })
	return true
}

// takeOver makes the host acquire the cell from its present owner.
func (h *modelHost) takeOver(ctx context.Context) {
	h.store.setCut(false)
	h.end()
	page, err := h.store.Rows(ctx, ledger.LeaseTable, "C", "", 1)
	var lease ledger.Lease
	if err != nil || len(page.Rows) > 0 && codec.Unmarshal(page.Rows[0].Value, &lease) != nil {
		return
	}
	l, err := ledger.Acquire(ctx, h.store, "C", h.name, fmt.Sprintf("%s-%d", h.name, rand.Int64()), lease)
	if err != nil {
		return
	}
	options := scheduler.Options{Cell: "C", StatusRetention: time.Minute, EarlierOwnerTimeout: tenure.OwnerTimeout, CellOptions: trialOptions()}
	o := scheduler.New(options, l, h.store, h.model, nil, h, &scheduler.Counters{}, discardLog())
	tenureContext, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	h.mu.Lock()
	h.owner, h.stop, h.ended = o, cancel, ended
	h.mu.Unlock()
	h.model.mu.Lock()
	h.model.tenures++
	h.model.mu.Unlock()
	go func() {
		defer close(ended)
		_ = o.Run(tenureContext, workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 100}}, Services: map[string]workload.Service{"S": {Name: "S"}}})
		h.mu.Lock()
		if h.owner == o {
			h.owner = nil
		}
		h.mu.Unlock()
	}()
}

// end ends the tenure of the host at once.
func (h *modelHost) end() {
	h.mu.Lock()
	stop, ended := h.stop, h.ended
	h.mu.Unlock()
	if stop != nil {
		stop()
		<-ended
	}
}

// resign makes the owner on the host release the cell.
func (h *modelHost) resign() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner != nil {
		h.owner.Resign()
	}
}

// useJob submits a job and cancels it, both through random hosts and in copies.
func (m *platformModel) useJob(ctx context.Context, job workload.Job) {
	j := &modelJob{Job: job}
	m.mu.Lock()
	m.jobs[job.ID] = j
	m.mu.Unlock()
	host := func() *intake.Forwarder { return m.hosts[rand.N(len(m.hosts))].forwarder }
	submit := func() {
		m.mu.Lock()
		j.attempts++
		m.mu.Unlock()
		limited, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		if reply := host().Submit(limited, intake.Credential{}, job); reply.Outcome == intake.Overloaded || reply.Outcome == intake.Unavailable {
			m.mu.Lock()
			j.rejected++
			m.mu.Unlock()
		}
	}
	go submit()
	if rand.N(3) == 0 {
		time.AfterFunc(rand.N(3*time.Second), submit)
	}
	timer.Sleep(ctx, rand.N(2*time.Second))
	if rand.N(4) == 0 {
		return
	}
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, 3*time.Second)
		reply := host().Cancel(limited, intake.Credential{}, job.Queue, job.ID)
		cancel()
		if reply.Outcome == intake.Accepted || reply.Outcome == intake.NotFound {
			m.mu.Lock()
			j.acknowledgedAt, j.acknowledgedBy = clock.Now(), reply.Fence
			m.mu.Unlock()
			return
		}
		timer.Sleep(ctx, 200*time.Millisecond)
	}
}

// disturb causes a random fault.
func (m *platformModel) disturb(ctx context.Context) {
	h := m.hosts[rand.N(len(m.hosts))]
	switch rand.N(6) {
	case 0:
		// Its transactions hang, and it doesn't learn of a successor.
		h.store.setCut(true)
	case 1:
		h.store.setCut(false)
	case 2:
		h.resign()
	case 3:
		for id := range m.workers {
			m.restart(id)
			break
		}
	default:
		h.takeOver(ctx)
	}
}

// check returns the runs of cancelled jobs that have gone on for too long since the platform
// is calm.
func (m *platformModel) check(calmSince time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.failures
	for _, w := range m.workers {
		for id, r := range w.runs {
			j := m.jobs[id.Job]
			limit := max(j.acknowledgedAt+cancelTime, calmSince+stableWindow+cancelTime, r.startedAt+stableWindow) + trialOptions().StopTime
			if j.acknowledgedAt != 0 && clock.Now() > limit {
				found = append(found, fmt.Sprintf("UNASKED: %s runs on", id))
			}
		}
	}
	return found
}

// The same as TestCancelledJobsStayCancelled with whole owners in real time: their event
// loops, sessions, copies of orders, resignations and tenures, and forwarders that send calls
// to any owner that runs, replaced or not (UNASKED, REFUSED).
func TestCancelledJobsStayCancelledByWholeOwners(t *testing.T) {
	for trial := range 2 {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m := &platformModel{c: c, store: &sharedStore{rows: map[string]ledger.Row{}}, workers: map[string]*modelWorker{}, jobs: map[string]*modelJob{}}
			for i := range 3 {
				id := fmt.Sprintf("w%d", i)
				m.workers[id] = newModelWorker(id, 1)
				m.announce(m.workers[id])
				h := &modelHost{model: m, name: "h" + id, store: &hostStore{sharedStore: m.store}}
				h.forwarder = intake.NewForwarder(h, discardLog())
				m.hosts = append(m.hosts, h)
			}
			defer func() {
				for _, h := range m.hosts {
					h.store.setCut(false)
					h.end()
				}
			}()
			go m.advanceWorkers(ctx)
			m.hosts[0].takeOver(ctx)
			for n := range 100 {
				job := workload.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Spec: strings.Repeat("s", n+1), Steps: []workload.Step{{TaskCount: 1 + rand.N(3), Size: task.Size{Processors: task.Processor / 4}, Daemon: rand.N(2) == 0, Estimate: time.Second}}}
				go m.useJob(ctx, job)
				if rand.N(6) == 0 {
					m.disturb(ctx)
				}
				timer.Sleep(ctx, rand.N(100*time.Millisecond))
			}
			for _, h := range m.hosts {
				h.store.setCut(false)
			}
			m.hosts[rand.N(len(m.hosts))].takeOver(ctx)
			m.mu.Lock()
			m.calm = true
			m.mu.Unlock()
			calmSince := clock.Now()
			for clock.Now() < calmSince+8500*time.Millisecond {
				c.Assert(m.check(calmSince), qt.HasLen, 0)
				timer.Sleep(ctx, 50*time.Millisecond)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			acknowledged, rejected := 0, 0
			for _, j := range m.jobs {
				rejected += j.rejected
				if j.acknowledgedAt != 0 {
					acknowledged++
				}
			}
			t.Logf("%d tenures, %d cancellations acknowledged, %d submissions rejected, %d starts", m.tenures, acknowledged, rejected, m.starts)
			c.Assert(acknowledged > 40, qt.IsTrue, qt.Commentf("%d cancellations were acknowledged", acknowledged))
			c.Assert(m.starts > 40, qt.IsTrue, qt.Commentf("%d tasks started", m.starts))
		})
	}
}
