package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/forecast"
	"github.com/vanillaquay/vanillaquay/organisation"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Options are limits set by the workers and the operator.
type Options struct {
	// Lease is how long one grant allows a worker to keep its runs.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts; it shortens a longer one.
	MaxLease time.Duration
	// StartLease is how long an order to start remains valid after it was sent.
	StartLease time.Duration
	// ClockSkew is the fraction by which a lease may outlast its length because a worker's
	// clock is slow.
	ClockSkew float64
	// StopTime is the longest time that a run takes to stop. Until it has stopped, a worker
	// may list it neither as running nor as ended.
	StopTime time.Duration
}

// Cell is the state of one cell. Use New to make one.
type Cell struct {
	options   Options
	catalogue workload.Catalogue
	// queues holds the queues of the catalogue by name.
	queues map[string]workload.Queue
	// jobs holds all jobs that are not final, and final jobs with open runs: these still use
	// capacity, which the next owner must know.
	jobs map[string]*job
	// jobBytes is the memory of all jobs, in bytes.
	jobBytes int64
	workers  map[string]*worker
	// sortedWorkers lists the workers in order of ID, so that decisions are deterministic.
	sortedWorkers []*worker
	// fleetVersion increases whenever a worker is added or removed or changes its address.
	fleetVersion int
	// scanOffset is where the next scan for a question begins in each of freeGroups.
	scanOffset int
	// freeGroups groups the workers by their free share of processors, as of the first
	// question of the current scheduling pass, if freeGroupsValid is set.
	freeGroups      [freeLevels + 1]workerGroup
	freeGroupsValid bool
	// rotationIndex is the index of the last step selected in rotation.
	rotationIndex int
	// changedJobs holds the jobs whose record is out of date, in order of change.
	changedJobs []*job
	// adopted holds the jobs that got a policy from the catalogue since the last scheduling pass.
	adopted    []*job
	actions    Actions
	logEntries []LogEntry
	// stale reports whether a task may now be placed that could not be placed before.
	stale bool
	// wallClock is the time of the last Tick in milliseconds since 1970.
	wallClock int64
	// recordDelay is the time needed to record a start.
	recordDelay time.Duration
	// idleAdviceHosts is the number of hosts that could ask a long question now.
	idleAdviceHosts int
	speeds          speeds
	eligibleRatios  eligibleRatios
	// meanSpeedOffset is the mean speedOffset of the workers.
	meanSpeedOffset float64
	speedRange      speedRange
	// calibrations compares predictions with run times, by queue, since the last TakeForecasts.
	calibrations map[string]forecast.Calibration
	// spreads holds the spreads of queues by the models in use.
	spreads map[string]spread
	// durations predicts the durations of tasks, by queue. durationVersion is the version in
	// use; durationsChanged reports whether the models have changed since.
	durations        map[string]forecast.Model
	durationVersion  int
	durationsChanged bool
	// usage is what may be running for each organisation. heldBack is the number of steps that the
	// limits kept waiting in the last scheduling pass, by organisation.
	usage    organisation.Usage
	heldBack map[string]int
	// overdue holds the organisations of which jobs beyond the share wait for too long.
	overdue map[string]bool
}

// New returns an empty cell.
func New(options Options) *Cell {
	return &Cell{options: options, jobs: map[string]*job{}, workers: map[string]*worker{}, speeds: speeds{}, eligibleRatios: eligibleRatios{}, durations: map[string]forecast.Model{}, spreads: map[string]spread{}, calibrations: map[string]forecast.Calibration{}, heldBack: map[string]int{}, overdue: map[string]bool{}}
}

// SetCatalogue puts a version of the operator's queues in force. It ignores versions older
// than the current one.
func (c *Cell) SetCatalogue(catalogue workload.Catalogue) {
	if catalogue.Version < c.catalogue.Version {
		return
	}
	c.catalogue, c.queues = catalogue, catalogue.QueuesByName()
	c.usage.SetLimits(catalogue.Organisations)
	for _, j := range c.jobs {
		c.followCatalogue(j)
	}
	c.stale = true
}

// SetRecordDelay sets the time needed to record a start.
func (c *Cell) SetRecordDelay(d time.Duration) { c.recordDelay = d }

// SetIdleAdviceHosts sets the number of hosts that could ask a long question now.
func (c *Cell) SetIdleAdviceHosts(n int) { c.idleAdviceHosts = n }

// TakeOutput returns the actions, record changes and log entries since the last call. Starts
// must not be sent before the changes are recorded.
func (c *Cell) TakeOutput() (Actions, []Change, []LogEntry) {
	actions, entries := c.actions, c.logEntries
	c.actions, c.logEntries = Actions{}, nil
	changes := make([]Change, 0, len(c.changedJobs))
	for _, j := range c.changedJobs {
		if c.jobs[j.ID] != j {
			// The job was abandoned.
			continue
		}
		changes = append(changes, Change{Job: j.Job, New: !j.recorded, Progress: j.progress()})
		j.recorded, j.isChanged = true, false
		if j.state.Final() && len(j.openRuns()) == 0 {
			c.removeJob(j)
		}
	}
	c.changedJobs = nil
	return actions, changes, entries
}

// JobCount returns the number of jobs that are not final or still have open runs.
func (c *Cell) JobCount() int { return len(c.jobs) }

// WorkerCount returns the number of known workers.
func (c *Cell) WorkerCount() int { return len(c.workers) }

// FleetVersion returns a number that increases whenever a worker is added or removed or
// changes its address.
func (c *Cell) FleetVersion() int { return c.fleetVersion }

func (c *Cell) markChanged(j *job) {
	if !j.isChanged {
		j.isChanged = true
		c.changedJobs = append(c.changedJobs, j)
	}
	c.stale = true
}

func (c *Cell) log(n LogEntry) { c.logEntries = append(c.logEntries, n) }
