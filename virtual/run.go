package virtual

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/task"
)

// Scheduler decides where work runs; *decision.Core is one.
type Scheduler interface {
	// Apply processes one event and returns the actions to execute; the slice
	// is valid until the next call.
	Apply(at time.Time, e decision.Event) []decision.Action
}

// epoch is the start time of every run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run is the state of one run of a load.
type run struct {
	clock
	load      load.Load
	options   Options
	scheduler Scheduler
	result    *Result
	// works holds the work of the load by key.
	works map[task.Key]*work
	// byCaller holds the works indexed by caller number.
	byCaller []*work
	// unanswered counts the pieces of work, except services, without a final
	// answer.
	unanswered int
	// running counts the running attempts.
	running int
	// racks holds the racks by name.
	racks map[string]*rackOwner
	// owners holds the racks in the order of the cell.
	owners []*rackOwner
	// journals holds the journals by partition.
	journals map[string]*journal
	store    store
	// hash covers all actions so far.
	hash *xxhash.Digest
	// random spreads the retries of refused callers.
	random *rand.Rand
}

// Run runs a load against a scheduler. It ends when all work except services is
// answered, or at the latest Options.Drain after the load's length.
func Run(l load.Load, s Scheduler, o Options) *Result {
	r := &run{
		load: l, options: o.withDefaults(), scheduler: s, result: newResult(l),
		works: map[task.Key]*work{}, racks: map[string]*rackOwner{}, journals: map[string]*journal{},
		hash: xxhash.New(), random: rand.New(rand.NewPCG(l.Seed, retryStream)),
	}
	r.addRacks()
	r.addItems()
	r.addFaults()
	r.after(tickInterval, r.tick)
	end := l.Length + r.options.Drain
	for r.unanswered > 0 && r.now <= end && r.step() {
	}
	r.finish()
	return r.result
}

// addItems schedules the arrivals and cancellations of the load's work.
func (r *run) addItems() {
	for i := range r.load.Items {
		item := &r.load.Items[i]
		w := newWork(item)
		r.works[item.Work.Key()] = w
		r.byCaller = append(r.byCaller, w)
		if item.Work.Kind != task.Service {
			r.unanswered++
		}
		caller := uint64(i)
		r.after(item.At, func() { r.submit(caller, w) })
		if item.CancelAt > item.At {
			r.after(item.CancelAt, func() { r.cancel(caller, w) })
		}
	}
}

func (r *run) cancel(caller uint64, w *work) {
	if w.awaitingRetry {
		r.markAnswered(w)
		r.result.Classes[w.class].Cancelled++
		return
	}
	r.apply(decision.Cancelled{Caller: caller, Key: w.item.Work.Key()})
}

func (r *run) submit(caller uint64, w *work) {
	w.submissions++
	w.lastSubmittedAt = r.now
	if w.submissions == 1 {
		r.result.Classes[w.class].Submitted++
	}
	team := xxhash.Sum64String(w.item.Work.Team)
	partition := fmt.Sprintf("%s-%03d", r.load.Cell.Region, team%uint64(r.options.Partitions))
	sent := w.item.Work.WithRegion(r.load.Cell.Region)
	sent.FirstTry = sent.FirstTry && w.submissions == 1
	if w.item.Timeout > 0 {
		sent.Deadline = epoch.Add(w.item.At + w.item.Timeout)
	}
	r.apply(decision.Submitted{Caller: caller, Wait: true, Partition: partition, Work: sent})
}

func (r *run) tick() {
	r.apply(decision.Tick{})
	r.after(tickInterval, r.tick)
}

// apply passes an event to the scheduler and executes the resulting actions.
func (r *run) apply(e decision.Event) {
	scanned := r.scanned()
	began := time.Now()
	actions := r.scheduler.Apply(epoch.Add(r.now), e)
	spent := time.Since(began)
	r.result.ProcessorTime += spent
	r.recordTime(actions, spent, r.scanned()-scanned)
	r.result.Events++
	r.result.Actions += len(actions)
	for _, a := range actions {
		r.act(a)
	}
}

// scanCounter is a scheduler that counts the racks and workers that it
// examines.
type scanCounter interface{ Scanned() int64 }

func (r *run) scanned() int64 {
	if s, ok := r.scheduler.(scanCounter); ok {
		return s.Scanned()
	}
	return 0
}

// recordTime records the processor time of an event that led to decisions and
// the number of candidates scanned for it.
func (r *run) recordTime(actions []decision.Action, spent time.Duration, scanned int64) {
	n := 0
	for _, a := range actions {
		n += decisions(a)
	}
	r.result.Scanned += scanned
	if n == 0 {
		return
	}
	_ = r.result.ScannedPerDecision.RecordValues(min(scanned/int64(n), maxScanned), int64(n))
	_ = r.result.PerEvent.RecordValue(max(1, min(int64(spent), int64(time.Minute))))
	each := int64(spent) / int64(n)
	_ = r.result.PerDecision.RecordValues(max(1, min(each, int64(time.Minute))), int64(n))
}

// decisions returns the number of starts and answers in an action.
func decisions(a decision.Action) int {
	switch a := a.(type) {
	case decision.Record:
		return len(a.Entry.Begun)
	case decision.Command:
		if a.Kind == task.Request && a.Verb == decision.Place {
			return 1
		}
		return 0
	case decision.Reply:
		return 1
	default:
		return 0
	}
}

func (r *run) act(a decision.Action) {
	switch a := a.(type) {
	case decision.Record:
		r.hashAction("Record", a.Partition, string(a.Entry.Verb), 0)
		r.journal(a.Partition).append(a)
	case decision.Command:
		r.hashAction(string(a.Verb), a.Attempt.Work.ID, a.Worker, a.Attempt.Task)
		r.command(a)
	case decision.Reply:
		r.hashAction("Reply", a.Answer.ID, string(a.Answer.State), int(a.Caller))
		r.reply(a)
	}
}

// hashAction adds an action to the hash of all decisions.
func (r *run) hashAction(verb, subject, where string, number int) {
	fmt.Fprintf(r.hash, "%d %s %s %s %d\n", r.now, verb, subject, where, number)
}

func (r *run) command(c decision.Command) {
	owner, ok := r.racks[c.Rack]
	if !ok {
		return
	}
	r.count(c, owner)
	r.recordDispatch(c)
	r.after(r.delay(owner), func() { owner.handle(c) })
}

// recordDispatch records the decision wait of a piece of work once its last
// task is dispatched.
func (r *run) recordDispatch(c decision.Command) {
	if c.Verb != decision.Place && c.Verb != decision.Hold {
		return
	}
	w, ok := r.works[c.Attempt.Work]
	if ok && w.markDispatched(c.Attempt.Task) {
		r.result.Classes[w.class].DecisionWaits.add(r.now - w.item.At)
	}
}

// report sends a report or a digest of a rack's owner to the scheduler.
func (r *run) report(from *rackOwner, e decision.Event) {
	switch e := e.(type) {
	case decision.DigestChanged:
		r.count(peer.Digests{Changes: []peer.DigestChange{peer.NewDigestChange(from.sentDigest, e.Digest)}}, from)
		from.sentDigest = e.Digest
	default:
		r.count(e, from)
	}
	r.after(r.delay(from), func() { r.apply(e) })
}

func (r *run) delay(o *rackOwner) time.Duration {
	if o.region != r.load.Cell.Region {
		return r.options.LinkDelay
	}
	return r.options.LocalDelay
}

// count adds the encoded size of a message between the scheduler and an owner.
func (r *run) count(message any, o *rackOwner) {
	data, err := codec.Marshal(message)
	if err != nil {
		panic(err)
	}
	r.result.Bytes += int64(len(data))
	if o.region != r.load.Cell.Region {
		r.result.LinkBytes += int64(len(data))
	}
}

// reply processes an answer to a caller.
func (r *run) reply(a decision.Reply) {
	if int(a.Caller) >= len(r.byCaller) || !a.Answer.State.Final() {
		return
	}
	w := r.byCaller[a.Caller]
	if w.answered {
		return
	}
	if isRefusal(a.Answer, w) {
		r.handleRefusal(a.Caller, w, a.Answer.RetryAfter)
		return
	}
	r.markAnswered(w)
	c := r.result.Classes[w.class]
	switch a.Answer.State {
	case task.Cancelled:
		c.Cancelled++
	case task.Failed, task.Unknown:
		c.Failed++
		w.failed = true
	}
}

// markAnswered records that the caller expects no further answer.
func (r *run) markAnswered(w *work) {
	w.answered, w.awaitingRetry = true, false
	if w.item.Work.Kind != task.Service {
		r.unanswered--
	}
}

// finish completes the measurements at the end of the run.
func (r *run) finish() {
	r.result.Decisions = r.hash.Sum64()
	r.result.Offered.add(r.load.Cell.Capacity(), r.load.Length)
	for _, w := range r.byCaller {
		c := r.result.Classes[w.class]
		if w.class == load.AllAtOnce {
			r.result.Jobs = append(r.result.Jobs, Job{Arrived: w.item.At, Started: w.startedAt, RunTime: w.item.RunTime})
		}
		if w.started() || w.answered && !w.failed {
			continue
		}
		if !w.answered {
			c.Unstarted++
		}
		c.Waits.add(r.now - w.item.At)
	}
	for _, o := range r.owners {
		o.finish()
	}
}
