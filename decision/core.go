package decision

import (
	"math/rand/v2"
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

var (
	requestChart = chart.MustLoad("Request")
	attemptChart = chart.MustLoad("Attempt")
	taskChart    = chart.MustLoad("Task")
)

// Core is the decision core. Use New to make one. It is not safe for
// concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	// now is the time of the event that is being applied.
	now time.Time
	// leased tells that work with a durable record may start.
	leased bool
	// held are the partitions that the driver owns.
	held map[string]bool
	jobs map[task.Key]*job
	// overtaken holds refused repeats of work that is not known.
	overtaken overtaken
	// queue holds the jobs with a task that waits, by class.
	queue [classes]queue
	// waiting counts the jobs in queue, all and by class.
	waiting      int
	waitingClass [classes]int
	teams        map[string]*team
	cell         cell
	token        uint64
	// serial is that of the latest job.
	serial uint64
	// pending holds what each unanswered Record was for.
	pending       map[uint64]pending
	timers        timers
	timerSequence uint64
	pace          pace
	// families holds what is learned, and familyOrder their keys as they came.
	families    map[familyKey]*family
	familyOrder []familyKey
	// health holds the workers that have failed something, and barred those in
	// quarantine or on probation.
	health map[string]*health
	barred []*health
	// victims holds the attempts that may be preempted, by worker.
	victims map[string]map[victim]bool
	budget  budget
	// reservation is nil unless an all-at-once job has waited for long.
	reservation *reservation
	// fair tells which teams leave spare room to others.
	fair fair
	// others is what the other members of the region have told.
	others  others
	actions []Action
	// looked counts the racks and workers that were looked at for a choice.
	looked int64
	// changed tells that a job or room came since the last placing.
	changed bool
}

// New returns a core without work and racks that may start work.
func New(o Options) *Core {
	o = o.withDefaults()
	return &Core{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		leased:  true,
		held:    map[string]bool{},
		jobs:    map[task.Key]*job{},

		overtaken: overtaken{},
		teams:     map[string]*team{},
		pending:   map[uint64]pending{},

		families: map[familyKey]*family{},
		health:   map[string]*health{},
		victims:  map[string]map[victim]bool{},
	}
}

// Apply takes one event that happened at the given time and returns what the
// driver must do, in order. The slice is valid until the next call.
func (c *Core) Apply(at time.Time, e Event) []Action {
	c.now = at
	clear(c.actions)
	c.actions = c.actions[:0]
	c.take(e)
	if c.changed {
		c.changed = false
		c.place()
	}
	return c.actions
}

func (c *Core) take(e Event) {
	switch e := e.(type) {
	case Submitted:
		c.submit(e)
	case Queried:
		c.ask(e)
	case Cancelled:
		c.cancel(e)
	case DigestChanged:
		c.setDigest(e.Digest)
	case RackRemoved:
		c.cell.drop(e.Rack)
	case RackUnreachable:
		c.unreachable(e)
	case RacksListed:
		c.cell.setListed(e.Racks, c.now)
	case Recorded:
		c.recorded(e.Token)
	case RecordFailed:
		c.recordFailed(e)
	case Report:
		c.report(e)
	case Usage:
		c.usage(e)
	case TeamsChanged:
		c.setTeams(e.Teams)
	case PartitionRecovered:
		c.recover(e)
	case PartitionLost:
		c.drop(e.Partition)
	case LeaseChanged:
		c.setLeased(e.Valid)
	case SummaryReceived:
		c.hear(e.Member, e.Summary)
	case MemberExpired:
		c.unhear(e.Member)
	case Tick:
		c.tick()
	}
}

// Counts is the number of jobs in each state of the chart Request.
func (c *Core) Counts() map[chart.State]int {
	counts := map[chart.State]int{}
	for _, j := range c.jobs {
		counts[j.state]++
	}
	return counts
}

// Waiting returns the number of jobs in the queue.
func (c *Core) Waiting() int { return c.waiting }

// Quarantined returns the number of workers in quarantine or on probation.
func (c *Core) Quarantined() int { return len(c.barred) }

// Wasted returns the work that preemption has wasted and all work that has
// ended, in processor-seconds.
func (c *Core) Wasted() (wasted, all float64) { return c.budget.wasted, c.budget.done }

// Scanned returns how many racks and workers were looked at so far to choose from.
func (c *Core) Scanned() int64 { return c.looked }

func (c *Core) setLeased(valid bool) {
	if valid && !c.leased {
		c.unblock(func(l *line) bool { return true })
	}
	c.leased = valid
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// record asks for an entry to be made durable and remembers what for.
func (c *Core) record(j *job, e record.Entry) {
	c.token++
	c.pending[c.token] = pending{job: j, entry: e}
	c.emit(Record{Token: c.token, Partition: j.partition, Entry: e})
}

// add makes a job known.
func (c *Core) add(j *job) {
	c.serial++
	j.serial = c.serial
	j.team = c.teamNamed(j.work.Team)
	j.allotment = j.team.allotmentOf(j.partition)
	j.size = c.sizeOf(j)
	c.jobs[j.key] = j
	if !j.work.Deadline.IsZero() {
		c.wakeBy(j, j.work.Deadline)
	}
}

// remove makes a job unknown and gives back what it takes.
func (c *Core) remove(j *job) {
	c.unqueue(j)
	c.sleep(j)
	for i := range j.tasks {
		c.discharge(j, i)
	}
	if c.jobs[j.key] == j {
		delete(c.jobs, j.key)
	}
}

// forgetJob drops an answer that was kept long enough.
func (c *Core) forgetJob(j *job) {
	until := j.ended.Add(c.options.remember(j.work))
	if c.now.Before(until) {
		c.wakeBy(j, until)
		return
	}
	c.remove(j)
}
