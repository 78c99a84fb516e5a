package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Options are the bounds that the workers and the operator set.
type Options struct {
	// Lease is how long a grant lets a worker run what it has.
	Lease time.Duration
	// StartLease is how long an order to start may be carried out late.
	StartLease time.Duration
	// ClockSkew is by how much of its length a lease may last longer, as the
	// clocks of workers may be slow.
	ClockSkew float64
	// StopTime is how long a run takes to stop at most. Meanwhile a worker may list
	// it neither as running nor as ended.
	StopTime time.Duration
}

// Cell is the state of one cell. Use New to make one.
type Cell struct {
	options   Options
	catalogue workload.Catalogue
	// queues holds those of the catalogue by name.
	queues map[string]workload.Queue
	// jobs holds all jobs that are not final, and those with runs that have not
	// ended: these take room, which the next owner must know.
	jobs    map[string]*job
	workers map[string]*worker
	// sortedWorkers lists the workers by ID, so that decisions repeat.
	sortedWorkers []*worker
	// fleetVersion rises with each worker that comes, goes or gets another address.
	fleetVersion int
	// scanOffset counts the workers that questions were chosen from.
	scanOffset int
	// freeGroups holds the workers by the part of them that is taken, as of the first question
	// of the present look at what waits, if isByRoom is set.
	freeGroups      [freeLevels + 1]workerGroup
	freeGroupsValid bool
	// rotationIndex is the place of the step that was last looked at in turn.
	rotationIndex int
	// changedJobs holds the jobs whose record is out of date, in the order of change.
	changedJobs []*job
	actions     Actions
	logEntries  []LogEntry
	// stale tells that something may be placed that could not be before.
	stale bool
	// wallClock is the time since 1970 in milliseconds, as of the last Tick.
	wallClock int64
	// recordDelay is how long it takes to record a start.
	recordDelay    time.Duration
	speeds         speeds
	eligibleRatios eligibleRatios
}

// New returns an empty cell.
func New(options Options) *Cell {
	return &Cell{options: options, jobs: map[string]*job{}, workers: map[string]*worker{}, speeds: speeds{}, eligibleRatios: eligibleRatios{}}
}

// SetCatalogue puts a version of the operator's queues in force.
func (c *Cell) SetCatalogue(catalogue workload.Catalogue) {
	if catalogue.Version < c.catalogue.Version {
		return
	}
	c.catalogue, c.queues = catalogue, catalogue.QueuesByName()
	c.stale = true
}

// SetRecordDelay tells how long it takes to record a start.
func (c *Cell) SetRecordDelay(d time.Duration) { c.recordDelay = d }

// TakeOutput returns what is to be done and recorded since the last call. Starts must
// wait until the changes are recorded.
func (c *Cell) TakeOutput() (Actions, []Change, []LogEntry) {
	actions, notes := c.actions, c.logEntries
	c.actions, c.logEntries = Actions{}, nil
	changes := make([]Change, 0, len(c.changedJobs))
	for _, j := range c.changedJobs {
		if c.jobs[j.ID] != j {
			// It was abandoned.
			continue
		}
		changes = append(changes, Change{Job: j.Job, New: !j.recorded, Progress: j.progress()})
		j.recorded, j.isChanged = true, false
		if j.state.Final() && len(j.openRuns()) == 0 {
			delete(c.jobs, j.ID)
		}
	}
	c.changedJobs = nil
	return actions, changes, notes
}

// JobCount returns the number of jobs that are not over.
func (c *Cell) JobCount() int { return len(c.jobs) }

// WorkerCount returns the number of workers that are known.
func (c *Cell) WorkerCount() int { return len(c.workers) }

// FleetVersion rises with each worker that comes, goes or gets another address.
func (c *Cell) FleetVersion() int { return c.fleetVersion }

func (c *Cell) markChanged(j *job) {
	if !j.isChanged {
		j.isChanged = true
		c.changedJobs = append(c.changedJobs, j)
	}
	c.stale = true
}

func (c *Cell) log(n LogEntry) { c.logEntries = append(c.logEntries, n) }
