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

// Core is the decision core. New makes one. It is not safe for concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	// now is the time of the event being applied.
	now time.Time
	// leaseValid reports whether work that needs a durable record may start.
	leaseValid bool
	// ownedPartitions holds the partitions that the driver owns.
	ownedPartitions map[string]bool
	jobs            map[task.Key]*job
	// unfinishedBytes is the memory of the jobs that have not ended, in bytes.
	unfinishedBytes int64
	// overtaken holds refused repeats of work that is not in jobs.
	overtaken overtaken
	// queues holds the jobs with a waiting task, by class.
	queues [classCount]queue
	// queuedCount is the number of jobs in queues, and queuedByClass that of
	// each class.
	queuedCount   int
	queuedByClass [classCount]int
	teams         map[string]*team
	cell          cell
	lastToken     uint64
	// lastSerial is the serial number of the newest job.
	lastSerial uint64
	// pendingRecords holds the entry and job of each Record without a result,
	// by token.
	pendingRecords map[uint64]pendingRecord
	timers         timers
	timerSequence  uint64
	startRate      startRate
	// families holds the statistics of past work, and familyOrder their keys in
	// order of creation.
	families    map[familyKey]*family
	familyOrder []familyKey
	// health holds the workers on which an attempt has failed, and quarantined
	// those in quarantine or on probation.
	health      map[string]*health
	quarantined []*health
	// victims holds the preemptible attempts by worker.
	victims     map[string]map[victim]bool
	wasteBudget wasteBudget
	// reservation is nil unless an all-at-once job has waited for
	// reservationDelay.
	reservation *reservation
	// fairShare tells which teams leave spare capacity to others.
	fairShare fairShare
	// peers is the state exchanged with the other members of the region.
	peers   peers
	actions []Action
	// scanned counts the racks and workers examined as candidates.
	scanned int64
	// needsPlacement reports whether a job was queued or unblocked since the
	// last call of place.
	needsPlacement bool
}

// New returns a core with a valid lease and without jobs or racks.
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

// Apply applies an event that happened at the given time and returns what the
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

// Counts returns the number of jobs in each state of the chart Request.
func (c *Core) Counts() map[chart.State]int {
	counts := map[chart.State]int{}
	for _, j := range c.jobs {
		counts[j.state]++
	}
	return counts
}

// Waiting returns the number of jobs in the queues.
func (c *Core) Waiting() int { return c.queuedCount }

// Quarantined returns the number of workers in quarantine or on probation.
func (c *Core) Quarantined() int { return len(c.quarantined) }

// Wasted returns the work lost to preemption and all work that has ended, in
// processor-seconds.
func (c *Core) Wasted() (wasted, all float64) { return c.wasteBudget.wasted, c.wasteBudget.completed }

// Scanned returns how many racks and workers have been examined as candidates
// so far.
func (c *Core) Scanned() int64 { return c.scanned }

func (c *Core) setLeaseValid(valid bool) {
	if valid && !c.leaseValid {
		c.unblock(func(l *subqueue) bool { return true })
	}
	c.leaseValid = valid
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// record asks the driver to make an entry durable and stores it under its token
// until the result arrives.
func (c *Core) record(j *job, e record.Entry) {
	c.lastToken++
	c.pendingRecords[c.lastToken] = pendingRecord{job: j, entry: e}
	c.emit(Record{Token: c.lastToken, Partition: j.partition, Entry: e})
}

// addJob registers a job and sets the timer for its deadline.
func (c *Core) addJob(j *job) {
	c.lastSerial++
	j.serial = c.lastSerial
	j.team = c.teamNamed(j.work.Team)
	j.allotment = j.team.allotmentOf(j.partition)
	j.size = c.sizeOf(j)
	c.jobs[j.key] = j
	j.heldBytes = memoryOf(j.work)
	c.unfinishedBytes += j.heldBytes
	if !j.work.Deadline.IsZero() {
		c.wakeBy(j, j.work.Deadline)
	}
}

// removeJob deletes a job with its timer and releases the capacity and quota of
// its tasks.
func (c *Core) removeJob(j *job) {
	c.unqueue(j)
	c.cancelTimer(j)
	c.markFinished(j)
	for i := range j.tasks {
		c.release(j, i)
	}
	if c.jobs[j.key] == j {
		delete(c.jobs, j.key)
	}
}

// expireAnswer removes an answered job whose retention time has passed.
func (c *Core) expireAnswer(j *job) {
	until := j.endedAt.Add(c.options.retention(j.work))
	if c.now.Before(until) {
		c.wakeBy(j, until)
		return
	}
	c.removeJob(j)
}
