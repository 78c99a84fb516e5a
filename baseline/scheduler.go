package baseline

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// maxAttempts is the number of attempts after which a failed task is not
// retried. Tasks of services are always restarted.
const maxAttempts = 5

// Scheduler is a baseline scheduler. Use FirstFitFIFO, BestFit or RandomOfTwo
// to make one.
type Scheduler struct {
	policy policy
	// blocking reports whether work that does not fit blocks all work queued
	// behind it.
	blocking bool
	now      time.Time
	jobs     map[task.Key]*job
	// queue holds the jobs with waiting tasks, in the order in which they were
	// queued.
	queue []*job
	// sizes counts the queued jobs by task size.
	sizes map[task.Size]int
	// workers is in order of ID.
	workers []*workerView
	// debits is indexed by rack.
	debits    map[string]map[task.AttemptID]debit
	token     uint64
	pending   map[uint64]pending
	actions   []decision.Action
	needsPass bool
}

// debit is capacity requested for an attempt that the rack's digest does not
// include yet.
type debit struct {
	worker *workerView
	size   task.Size
	// sequence is that of the first digest that includes the attempt; 0 until
	// it is known.
	sequence uint64
}

// pending is the purpose of a record that is not yet durable; begun is empty
// unless it records starts.
type pending struct {
	job   *job
	begun []record.Begun
	verb  record.Verb
}

// FirstFitFIFO returns a scheduler that starts work strictly in order of
// arrival, on the first worker with enough free capacity.
func FirstFitFIFO() *Scheduler { return newScheduler(firstFit{}, true) }

// BestFit returns a scheduler that starts any queued work that fits, on the
// worker that will have the least free capacity left.
func BestFit() *Scheduler { return newScheduler(bestFit{}, false) }

// RandomOfTwo returns a scheduler that starts any queued work that fits, on the
// one of two random workers with more free capacity.
func RandomOfTwo(seed uint64) *Scheduler {
	return newScheduler(randomOfTwo{random: rand.New(rand.NewPCG(seed, 0))}, false)
}

func newScheduler(p policy, blocking bool) *Scheduler {
	return &Scheduler{policy: p, blocking: blocking, jobs: map[task.Key]*job{}, sizes: map[task.Size]int{},
		debits: map[string]map[task.AttemptID]debit{}, pending: map[uint64]pending{}}
}

// Apply processes one event and returns the actions to execute. The slice is
// valid until the next call.
func (s *Scheduler) Apply(at time.Time, e decision.Event) []decision.Action {
	s.now = at
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case decision.Submitted:
		s.submit(e)
	case decision.Cancelled:
		s.cancel(e)
	case decision.DigestChanged:
		s.digest(e)
	case decision.Recorded:
		s.recorded(e.Token)
	case decision.RecordFailed:
		s.recordFailed(e.Token)
	case decision.Report:
		s.report(e)
	case decision.Tick:
		s.needsPass = true
	}
	if s.needsPass {
		s.needsPass = false
		s.place()
	}
	return s.actions
}

func (s *Scheduler) emit(a decision.Action) { s.actions = append(s.actions, a) }

// digest updates the free capacity of a rack's workers, less the debits that
// the digest does not include.
func (s *Scheduler) digest(e decision.DigestChanged) {
	known := map[string]*workerView{}
	for _, w := range e.Digest.Workers {
		h := s.workerByID(w.ID)
		h.rack, h.state, h.capacity, h.free = e.Digest.Rack, w.State, w.Capacity, w.Free
		known[w.ID] = h
	}
	debits := s.debits[e.Digest.Rack]
	for id, d := range debits {
		switch {
		case known[d.worker.id] == nil:
		case d.sequence > 0 && d.sequence <= e.Digest.Sequence:
			delete(debits, id)
		default:
			d.worker.free = d.worker.free.Minus(d.size)
		}
	}
	s.needsPass = true
}

// workerByID returns the worker with the given ID, and adds it if it is new.
func (s *Scheduler) workerByID(id string) *workerView {
	i, found := slices.BinarySearchFunc(s.workers, id, func(h *workerView, id string) int { return strings.Compare(h.id, id) })
	if !found {
		s.workers = slices.Insert(s.workers, i, &workerView{id: id})
	}
	return s.workers[i]
}

// place starts the queued work that fits. A size that did not fit is not tried
// again in the same pass, since free capacity only decreases; an all-at-once
// job that did not fit is no reason to skip its size, since fewer tasks of it
// may fit.
func (s *Scheduler) place() {
	unplaceable := map[task.Size]bool{}
	remaining := 0
	for i, j := range s.queue {
		size := j.work.TaskSize()
		if !unplaceable[size] && s.placeJob(j, size) {
			j.queued = false
			s.removeSize(size)
			continue
		}
		unplaceable[size] = unplaceable[size] || j.work.Kind != task.AllAtOnce
		if s.blocking {
			clear(s.queue[:i])
			s.queue = s.queue[i:]
			return
		}
		s.queue[remaining] = j
		remaining++
		if len(unplaceable) == len(s.sizes) {
			remaining += copy(s.queue[remaining:], s.queue[i+1:])
			break
		}
	}
	clear(s.queue[remaining:])
	s.queue = s.queue[:remaining]
}

// placeJob starts the waiting tasks that fit and reports whether none is left;
// an all-at-once job starts as a whole or not at all.
func (s *Scheduler) placeJob(j *job, size task.Size) bool {
	var begun []record.Begun
	complete := true
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != waiting {
			continue
		}
		h := s.policy.choose(s.workers, size)
		if h == nil {
			complete = false
			break
		}
		t.number++
		t.rack, t.worker = h.rack, h.id
		s.addDebit(j.id(i), h, size)
		begun = append(begun, record.Begun{Attempt: j.id(i), Rack: h.rack})
	}
	if !complete && j.work.Kind == task.AllAtOnce {
		for _, b := range begun {
			s.releaseDebit(b.Rack, b.Attempt)
			j.tasks[b.Attempt.Task].number--
		}
		return false
	}
	s.recordStarts(j, begun)
	return complete
}

func (s *Scheduler) recordStarts(j *job, begun []record.Begun) {
	if len(begun) == 0 {
		return
	}
	for _, b := range begun {
		j.tasks[b.Attempt.Task].state = recording
	}
	if !j.work.NeedsDurableRecord() {
		s.dispatch(j, begun)
		return
	}
	s.record(pending{job: j, begun: begun, verb: record.Begin}, record.Entry{Verb: record.Begin, At: s.now, Begun: begun})
}

// addDebit reduces the free capacity of a worker until the rack's digest
// includes the attempt.
func (s *Scheduler) addDebit(id task.AttemptID, h *workerView, size task.Size) {
	h.free = h.free.Minus(size)
	if s.debits[h.rack] == nil {
		s.debits[h.rack] = map[task.AttemptID]debit{}
	}
	s.debits[h.rack][id] = debit{worker: h, size: size}
}

func (s *Scheduler) releaseDebit(rack string, id task.AttemptID) {
	if d, ok := s.debits[rack][id]; ok {
		d.worker.free = d.worker.free.Plus(d.size)
		delete(s.debits[rack], id)
	}
}

func (s *Scheduler) enqueue(j *job) {
	if !j.queued {
		j.queued = true
		s.sizes[j.work.TaskSize()]++
		s.queue = append(s.queue, j)
		s.needsPass = true
	}
}

func (s *Scheduler) dequeue(j *job) {
	if j.queued {
		j.queued = false
		s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
		s.removeSize(j.work.TaskSize())
	}
}

// removeSize removes a job from the count of its size.
func (s *Scheduler) removeSize(size task.Size) {
	s.sizes[size]--
	if s.sizes[size] == 0 {
		delete(s.sizes, size)
	}
}
