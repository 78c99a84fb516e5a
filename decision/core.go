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
	// leaseValid tells that work with a durable record may start.
	leaseValid bool
	// ownedPartitions are the partitions that the driver owns.
	ownedPartitions map[string]bool
	jobs            map[task.Key]*job
	// overtaken holds refused repeats of work that is not known.
	overtaken overtaken
	// queues holds the jobs with a task that waits, by class.
	queues [classCount]queue
	// queuedCount counts the jobs in queue, all and by class.
	queuedCount   int
	queuedByClass [classCount]int
	teams         map[string]*team
	cell          cell
	lastToken     uint64
	// lastSerial is that of the latest job.
	lastSerial uint64
	// pendingRecords holds what each unanswered Record was for.
	pendingRecords map[uint64]pendingRecord
	timers         timers
	timerSequence  uint64
	startRate      startRate
	// families holds what is learned, and familyOrder their keys as they came.
	families    map[familyKey]*family
	familyOrder []familyKey
	// health holds the workers that have failed something, and barred those in
	// quarantine or on probation.
	health      map[string]*health
	quarantined []*health
	// victims holds the attempts that may be preempted, by worker.
	victims     map[string]map[victim]bool
	wasteBudget wasteBudget
	// reservation is nil unless an all-at-once job has waited for long.
	reservation *reservation
	// fairShare tells which teams leave spare room to others.
	fairShare fairShare
	// peers is what the other members of the region have told.
	peers   peers
	actions []Action
	// scanned counts the racks and workers that were looked at for a choice.
	scanned int64
	// needsPlacement tells that a job or room came since the last placing.
	needsPlacement bool
}

// New returns a core without work and racks that may start work.
func New(o Options) *Core {
	o = o.withDefaults()
	return &Core{
		options:         o,
		random:          rand.New(rand.NewPCG(o.Seed, 0)),
		leaseValid:      true,
		ownedPartitions: map[string]bool{},
		jobs:            map[task.Key]*job{},

		overtaken:      overtaken{},
		teams:          map[string]*team{},
		pendingRecords: map[uint64]pendingRecord{},

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
	c.dispatch(e)
	if c.needsPlacement {
		c.needsPlacement = false
		c.place()
	}
	return c.actions
}

func (c *Core) dispatch(e Event) {
	switch e := e.(type) {
	case Submitted:
		c.submit(e)
	case Queried:
		c.query(e)
	case Cancelled:
		c.cancel(e)
	case DigestChanged:
		c.setDigest(e.Digest)
	case RackRemoved:
		c.cell.removeRack(e.Rack)
	case RackUnreachable:
		c.onRackUnreachable(e)
	case RacksListed:
		c.cell.setListedRacks(e.Racks, c.now)
	case Recorded:
		c.onRecorded(e.Token)
	case RecordFailed:
		c.onRecordFailed(e)
	case Report:
		c.onReport(e)
	case Usage:
		c.onUsage(e)
	case TeamsChanged:
		c.setTeams(e.Teams)
	case PartitionRecovered:
		c.recoverPartition(e)
	case PartitionLost:
		c.dropPartition(e.Partition)
	case LeaseChanged:
		c.setLeaseValid(e.Valid)
	case SummaryReceived:
		c.receiveSummary(e.Member, e.Summary)
	case MemberExpired:
		c.forgetMember(e.Member)
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
func (c *Core) Waiting() int { return c.queuedCount }

// Quarantined returns the number of workers in quarantine or on probation.
func (c *Core) Quarantined() int { return len(c.quarantined) }

// Wasted returns the work that preemption has wasted and all work that has
// ended, in processor-seconds.
func (c *Core) Wasted() (wasted, all float64) { return c.wasteBudget.wasted, c.wasteBudget.completed }

// Scanned returns how many racks and workers were looked at so far to choose from.
func (c *Core) Scanned() int64 { return c.scanned }

func (c *Core) setLeaseValid(valid bool) {
	if valid && !c.leaseValid {
		c.unblock(func(l *subqueue) bool { return true })
	}
	c.leaseValid = valid
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// record asks for an entry to be made durable and remembers what for.
func (c *Core) record(j *job, e record.Entry) {
	c.lastToken++
	c.pendingRecords[c.lastToken] = pendingRecord{job: j, entry: e}
	c.emit(Record{Token: c.lastToken, Partition: j.partition, Entry: e})
}

// addJob makes a job known.
func (c *Core) addJob(j *job) {
	c.lastSerial++
	j.serial = c.lastSerial
	j.team = c.teamNamed(j.work.Team)
	j.allotment = j.team.allotmentOf(j.partition)
	j.size = c.sizeOf(j)
	c.jobs[j.key] = j
	if !j.work.Deadline.IsZero() {
		c.wakeBy(j, j.work.Deadline)
	}
}

// removeJob makes a job unknown and gives back what it takes.
func (c *Core) removeJob(j *job) {
	c.unqueue(j)
	c.cancelTimer(j)
	for i := range j.tasks {
		c.release(j, i)
	}
	if c.jobs[j.key] == j {
		delete(c.jobs, j.key)
	}
}

// expireAnswer drops an answer that was kept long enough.
func (c *Core) expireAnswer(j *job) {
	until := j.endedAt.Add(c.options.retention(j.work))
	if c.now.Before(until) {
		c.wakeBy(j, until)
		return
	}
	c.removeJob(j)
}
