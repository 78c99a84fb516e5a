package decision

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/task"
)

// Description is an excerpt of a core's state for the dump of a process.
type Description struct {
	// Jobs is the number of jobs in each state of the chart Request.
	Jobs map[chart.State]int
	// Waiting is the number of queued jobs.
	Waiting int
	// Racks is the number of racks with a digest.
	Racks int
	// Yielding is the number of subqueues that currently leave capacity to
	// other members.
	Yielding int
	// Needs lists the work that recently had no capacity here, as last sent to
	// the other members.
	Needs []Need `json:",omitempty"`
	// Elsewhere holds the needs received from the other members of the region,
	// by member.
	Elsewhere map[string][]Need `json:",omitempty"`
	// Barred lists up to maxSummaryBarred workers in quarantine or on probation,
	// and Avoided the workers avoided because other members reported them as
	// such.
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
	// Waiters is the number of callers that wait for an answer.
	Waiters   int
	Submitted time.Time
}

// Describe returns an excerpt of the core's state with at most limit jobs.
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

// describeSharing adds the state exchanged with the other members.
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
