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

// attempts is the most attempts of one task.
const attempts = 5

// Scheduler is a baseline. Make one with FirstFitFIFO, BestFit or RandomOfTwo.
type Scheduler struct {
	policy policy
	// blocking tells that nothing overtakes work that does not fit.
	blocking bool
	now      time.Time
	jobs     map[task.Key]*job
	// queue holds the jobs with a waiting task in order of arrival.
	queue []*job
	// sizes counts the queued jobs of each size of a task.
	sizes map[task.Size]int
	// workers is in order of ID.
	workers []*host
	// debits is by rack.
	debits  map[string]map[task.AttemptID]debit
	token   uint64
	pending map[uint64]pending
	actions []decision.Action
	changed bool
}

// debit is room asked for that the digest of the rack does not include yet.
type debit struct {
	host *host
	size task.Size
	// sequence is that of the digest that includes it; 0 until it is known.
	sequence uint64
}

// pending is what an unanswered record is for; begun is empty for an
// acceptance or an end.
type pending struct {
	job   *job
	begun []record.Begun
	verb  record.Verb
}

// FirstFitFIFO starts work strictly in order of arrival on the first worker
// that has room.
func FirstFitFIFO() *Scheduler { return newScheduler(firstFit{}, true) }

// BestFit starts what fits on the fullest worker that has room, whatever waits
// before it.
func BestFit() *Scheduler { return newScheduler(bestFit{}, false) }

// RandomOfTwo starts what fits on the emptier of two random workers.
func RandomOfTwo(seed uint64) *Scheduler {
	return newScheduler(randomOfTwo{random: rand.New(rand.NewPCG(seed, 0))}, false)
}

func newScheduler(p policy, blocking bool) *Scheduler {
	return &Scheduler{policy: p, blocking: blocking, jobs: map[task.Key]*job{}, sizes: map[task.Size]int{},
		debits: map[string]map[task.AttemptID]debit{}, pending: map[uint64]pending{}}
}

// Apply takes one event and returns what to do. The slice is valid until the
// next call.
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
		s.changed = true
	}
	if s.changed {
		s.changed = false
		s.place()
	}
	return s.actions
}

func (s *Scheduler) emit(a decision.Action) { s.actions = append(s.actions, a) }

// digest takes what a rack has free, less what it does not include yet.
func (s *Scheduler) digest(e decision.DigestChanged) {
	known := map[string]*host{}
	for _, w := range e.Digest.Workers {
		h := s.host(w.ID)
		h.rack, h.state, h.capacity, h.free = e.Digest.Rack, w.State, w.Capacity, w.Free
		known[w.ID] = h
	}
	debits := s.debits[e.Digest.Rack]
	for id, d := range debits {
		switch {
		case known[d.host.id] == nil:
		case d.sequence > 0 && d.sequence <= e.Digest.Sequence:
			delete(debits, id)
		default:
			d.host.free = d.host.free.Minus(d.size)
		}
	}
	s.changed = true
}

// host returns the worker with the given ID, which may be new.
func (s *Scheduler) host(id string) *host {
	i, found := slices.BinarySearchFunc(s.workers, id, func(h *host, id string) int { return strings.Compare(h.id, id) })
	if !found {
		s.workers = slices.Insert(s.workers, i, &host{id: id})
	}
	return s.workers[i]
}

// place starts what fits. A size that did not fit is not tried again in the
// same pass, since room only shrinks.
func (s *Scheduler) place() {
	full := map[task.Size]bool{}
	kept := 0
	for i, j := range s.queue {
		size := j.work.TaskSize()
		if !full[size] && s.placeJob(j, size) {
			j.queued = false
			s.dropSize(size)
			continue
		}
		full[size] = full[size] || j.work.Kind != task.AllAtOnce
		if s.blocking {
			clear(s.queue[:i])
			s.queue = s.queue[i:]
			return
		}
		s.queue[kept] = j
		kept++
		if len(full) == len(s.sizes) {
			kept += copy(s.queue[kept:], s.queue[i+1:])
			break
		}
	}
	clear(s.queue[kept:])
	s.queue = s.queue[:kept]
}

// placeJob starts the waiting tasks that fit and reports whether none is left;
// an all-at-once job starts whole or not at all.
func (s *Scheduler) placeJob(j *job, size task.Size) bool {
	var begun []record.Begun
	whole := true
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != waiting {
			continue
		}
		h := s.policy.choose(s.workers, size)
		if h == nil {
			whole = false
			break
		}
		t.number++
		t.rack, t.worker = h.rack, h.id
		s.debit(j.id(i), h, size)
		begun = append(begun, record.Begun{Attempt: j.id(i), Rack: h.rack})
	}
	if !whole && j.work.Kind == task.AllAtOnce {
		for _, b := range begun {
			s.giveBack(b.Rack, b.Attempt)
			j.tasks[b.Attempt.Task].number--
		}
		return false
	}
	s.begin(j, begun)
	return whole
}

func (s *Scheduler) begin(j *job, begun []record.Begun) {
	if len(begun) == 0 {
		return
	}
	for _, b := range begun {
		j.tasks[b.Attempt.Task].state = recording
	}
	if !j.work.NeedsDurableRecord() {
		s.begun(j, begun)
		return
	}
	s.record(pending{job: j, begun: begun, verb: record.Begin}, record.Entry{Verb: record.Begin, At: s.now, Begun: begun})
}

// debit takes room on a worker until its digest includes it.
func (s *Scheduler) debit(id task.AttemptID, h *host, size task.Size) {
	h.free = h.free.Minus(size)
	if s.debits[h.rack] == nil {
		s.debits[h.rack] = map[task.AttemptID]debit{}
	}
	s.debits[h.rack][id] = debit{host: h, size: size}
}

func (s *Scheduler) giveBack(rack string, id task.AttemptID) {
	if d, ok := s.debits[rack][id]; ok {
		d.host.free = d.host.free.Plus(d.size)
		delete(s.debits[rack], id)
	}
}

func (s *Scheduler) enqueue(j *job) {
	if !j.queued {
		j.queued = true
		s.sizes[j.work.TaskSize()]++
		s.queue = append(s.queue, j)
		s.changed = true
	}
}

func (s *Scheduler) unqueue(j *job) {
	if j.queued {
		j.queued = false
		s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
		s.dropSize(j.work.TaskSize())
	}
}

// dropSize counts a job less of a size.
func (s *Scheduler) dropSize(size task.Size) {
	s.sizes[size]--
	if s.sizes[size] == 0 {
		delete(s.sizes, size)
	}
}
