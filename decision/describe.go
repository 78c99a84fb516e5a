package decision

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/task"
)

// Description is what a core holds, within a bound, for the dump of a process.
type Description struct {
	// Jobs is the number of jobs in each state of the chart Request.
	Jobs map[chart.State]int
	// Waiting is the number of jobs in the queue.
	Waiting int
	// Racks is the number of racks that are known.
	Racks int
	// Yielding is the number of lines that leave room to other members now.
	Yielding int
	// Needs lists what had no room here of late, as other members are told.
	Needs []Need `json:",omitempty"`
	// Elsewhere holds what other members of the region had no room for, by member.
	Elsewhere map[string][]Need `json:",omitempty"`
	// Barred lists the workers in quarantine or on probation, and Avoided those
	// that other members have told to be.
	Barred  []string `json:",omitempty"`
	Avoided []string `json:",omitempty"`
	// Unanswered lists jobs without a final answer, up to the limit.
	Unanswered []JobDescription
}

// JobDescription is one job of a Description.
type JobDescription struct {
	Work      task.Key
	Kind      task.Kind
	State     chart.State
	Partition string
	Tasks     int
	// Waiters is the number of callers that wait for the final answer.
	Waiters   int
	Submitted time.Time
}

// Describe returns what the core holds, with at most limit jobs.
func (c *Core) Describe(limit int) Description {
	d := Description{Jobs: c.Counts(), Waiting: c.Waiting(), Racks: len(c.cell.views)}
	c.describeSharing(&d)
	for key, j := range c.jobs {
		if len(d.Unanswered) >= limit {
			return d
		}
		if requestChart.Final(j.state) {
			continue
		}
		d.Unanswered = append(d.Unanswered, JobDescription{
			Work: key, Kind: j.work.Kind, State: j.state, Partition: j.partition,
			Tasks: len(j.tasks), Waiters: len(j.endWaiters) + len(j.acceptWaiters), Submitted: j.submittedAt,
		})
	}
	return d
}

// describeSharing adds what this member and the others know of one another.
func (c *Core) describeSharing(d *Description) {
	for k := range c.queues {
		for _, l := range c.queues[k].subqueues {
			if l.cause == yielding {
				d.Yielding++
			}
		}
	}
	d.Needs, d.Barred = slices.Clone(c.peers.lastSummary.Needs), c.quarantinedNames()
	d.Avoided = slices.Sorted(maps.Keys(c.peers.avoided))
	for name, s := range c.peers.summaries {
		if len(s.Needs) == 0 {
			continue
		}
		if d.Elsewhere == nil {
			d.Elsewhere = map[string][]Need{}
		}
		d.Elsewhere[name] = slices.Clone(s.Needs)
	}
}
