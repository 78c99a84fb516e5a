package decision_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// memberStep is the length of a step, and the delay with which a member
	// learns of a change in a rack that it does not own.
	memberStep = 20 * time.Millisecond
	// stepsPerTick is the number of steps between two ticks.
	stepsPerTick = 5
)

// members drives several cores that place on the same racks. Each rack is owned
// by one of the cores.
type members struct {
	now    time.Time
	random *rand.Rand
	cores  []*decision.Core
	racks  []*rack.Rack
	// rackIndex is the index of each rack by name.
	rackIndex map[string]int
	// rackOwners holds the index of the core that owns each rack.
	rackOwners    []int
	sentSequences []uint64
	// delayedEvents holds the events that each core receives at the next step.
	delayedEvents [][]decision.Event
	// partitionOwners holds the index of the core that owns each partition, and
	// journals the entries of each partition.
	partitionOwners map[string]int
	journals        map[string][]record.Entry
	running         []runningAttempt
	lastCaller      uint64
	steps           int
	replies         map[uint64]task.Answer
	// unstarted counts the tasks of each team that were submitted to a core and
	// have not started.
	unstarted map[teamAtCore]int
	// summaries counts the summaries sent.
	summaries int
	// failingWorkers holds the workers that fail every attempt at once;
	// attempts counts the ended attempts, and failures those that failed.
	failingWorkers     map[string]bool
	attempts, failures int
}

// runningAttempt is an attempt with the time at which it ends.
type runningAttempt struct {
	decision.Command
	endsAt time.Time
}

// newMembers returns cores and racks of eight workers, each with capacity for
// four tasks. ownerOf returns the core that owns a rack.
func newMembers(cores, racks int, seed uint64, ownerOf func(rack int) int) *members {
	m := &members{now: startTime, random: rand.New(rand.NewPCG(seed, 0)), replies: map[uint64]task.Answer{}, rackIndex: map[string]int{}, unstarted: map[teamAtCore]int{},
		partitionOwners: map[string]int{}, journals: map[string][]record.Entry{}}
	for i := range cores {
		m.cores = append(m.cores, decision.New(decision.Options{Region: "centro", DiscoveryPeriod: -1, Seed: seed + uint64(i)}))
		m.delayedEvents = append(m.delayedEvents, nil)
	}
	for i := range racks {
		name := fmt.Sprintf("r%02d", i)
		m.rackIndex[name] = i
		r := rack.New(name, "centro", fmt.Sprintf("z%d", i%3), 1)
		for k := range 8 {
			r.SetWorker(fmt.Sprintf("%s-%d", name, k), rack.Up,
				task.Size{Processors: 4000, Memory: 16 * task.Gibibyte, Slots: 64, Connections: 64})
		}
		m.racks = append(m.racks, r)
		m.rackOwners = append(m.rackOwners, ownerOf(i))
		m.sentSequences = append(m.sentSequences, 0)
	}
	for i := range m.cores {
		m.setOwner(partitionOf(i), i)
	}
	m.sendDigests()
	m.step()
	return m
}

func partitionOf(core int) string { return fmt.Sprintf("p%d", core) }

func partitionsOf(cores int) []string {
	var names []string
	for i := range cores {
		names = append(names, partitionOf(i))
	}
	return names
}

func (m *members) setTeams(teams ...decision.Team) {
	for i := range m.cores {
		m.apply(i, decision.TeamsChanged{Teams: teams})
	}
}

// taskCapacity returns how many tasks can run at once.
func (m *members) taskCapacity() int { return len(m.racks) * 8 * 4 }

func (m *members) apply(core int, e decision.Event) {
	events := []decision.Event{e}
	for i := 0; i < len(events); i++ {
		for _, a := range m.cores[core].Apply(m.now, events[i]) {
			switch a := a.(type) {
			case decision.Record:
				m.journals[a.Partition] = append(m.journals[a.Partition], a.Entry)
				events = append(events, decision.Recorded{Token: a.Token})
			case decision.Command:
				events = append(events, m.execute(core, a)...)
			case decision.Reply:
				m.replies[a.Caller] = a.Answer
			case decision.SendSummary:
				m.broadcast(core, a.Summary)
			}
		}
	}
}

// broadcast delivers a summary to the other cores at the next step.
func (m *members) broadcast(from int, s decision.Summary) {
	m.summaries++
	for i := range m.cores {
		if i != from {
			m.delayedEvents[i] = append(m.delayedEvents[i], decision.SummaryReceived{Member: partitionOf(from), Summary: s})
		}
	}
}

// execute carries out a command and returns the report that answers it.
func (m *members) execute(core int, a decision.Command) []decision.Event {
	i := m.rackIndex[a.Rack]
	report := decision.Report{Attempt: a.Attempt, Rack: a.Rack, Worker: a.Worker, Epoch: 1}
	switch a.Verb {
	case decision.Place, decision.Hold:
		v := m.racks[i].Reserve(a.Attempt, a.Size, a.Worker, a.Avoid...)
		report.Worker, report.Status = v.Worker, decision.Placed
		if v.Reason != "" {
			report.Status = decision.Refused
			break
		}
		a.Worker = v.Worker
		if a.Verb == decision.Hold {
			report.Status = decision.Held
			break
		}
		m.unstarted[teamAtCore{core, a.Attempt.Work.Team}]--
		m.running = append(m.running, runningAttempt{Command: a, endsAt: m.now.Add(m.runTime(a))})
	case decision.Confirm:
		report.Status = decision.Placed
		m.running = append(m.running, runningAttempt{Command: a, endsAt: m.now.Add(m.runTime(a))})
	case decision.Settle:
		report.Status = decision.Refused
		for _, r := range m.running {
			if r.Attempt == a.Attempt {
				report.Status, report.Worker = decision.Placed, r.Worker
			}
		}
	case decision.Checkpoint, decision.Withdraw:
		m.racks[i].Release(a.Attempt)
		report.Status, report.Outcome = decision.Ended, task.Stopped
		if !slices.ContainsFunc(m.running, func(r runningAttempt) bool { return r.Attempt == a.Attempt }) {
			report.Status, report.Outcome = decision.Refused, ""
		}
		m.running = slices.DeleteFunc(m.running, func(r runningAttempt) bool { return r.Attempt == a.Attempt })
	default:
		return nil
	}
	report.Sequence = m.racks[i].Sequence()
	return []decision.Event{report}
}

// runTime returns how long an attempt runs: between half of its declared run
// time and one and a half, an hour for a service, and one step on a failing
// worker.
func (m *members) runTime(a decision.Command) time.Duration {
	switch {
	case m.failingWorkers[a.Worker]:
		return memberStep
	case a.Kind == task.Service:
		return time.Hour
	}
	return a.RunTime/2 + time.Duration(m.random.Int64N(int64(a.RunTime)+1))
}

// sendDigests delivers the digest of each changed rack to its owner at once and
// to the other cores at the next step.
func (m *members) sendDigests() {
	for i, r := range m.racks {
		if m.sentSequences[i] == r.Sequence() {
			continue
		}
		m.sentSequences[i] = r.Sequence()
		e := decision.DigestChanged{Digest: r.Digest()}
		for k := range m.cores {
			if k != m.rackOwners[i] {
				m.delayedEvents[k] = append(m.delayedEvents[k], e)
			}
		}
		m.apply(m.rackOwners[i], e)
	}
}

// step advances time by memberStep.
func (m *members) step() {
	m.now = m.now.Add(memberStep)
	m.steps++
	late := m.delayedEvents
	m.delayedEvents = make([][]decision.Event, len(m.cores))
	for _, i := range m.random.Perm(len(m.cores)) {
		for _, e := range late[i] {
			m.apply(i, e)
		}
		if m.steps%stepsPerTick == 0 {
			m.apply(i, decision.Tick{})
		}
	}
	m.endDue()
	m.sendDigests()
}

// endDue ends the attempts whose run time is over.
func (m *members) endDue() {
	var ended []runningAttempt
	m.running = slices.DeleteFunc(m.running, func(r runningAttempt) bool {
		over := !m.now.Before(r.endsAt)
		if over {
			ended = append(ended, r)
		}
		return over
	})
	for _, r := range ended {
		i := m.rackIndex[r.Rack]
		m.racks[i].Release(r.Attempt)
		m.attempts++
		outcome := task.Succeeded
		if m.failingWorkers[r.Worker] {
			m.failures++
			outcome = task.Broke
		}
		m.apply(m.partitionOwners[r.Partition], decision.Report{Status: decision.Ended, Attempt: r.Attempt, Rack: r.Rack, Worker: r.Worker,
			Epoch: 1, Sequence: m.racks[i].Sequence(), Outcome: outcome})
	}
}

// setOwner makes a core the owner of a partition.
func (m *members) setOwner(partition string, core int) {
	if former, ok := m.partitionOwners[partition]; ok {
		m.apply(former, decision.PartitionLost{Partition: partition})
	}
	m.partitionOwners[partition] = core
	m.apply(core, decision.PartitionRecovered{Partition: partition, Entries: m.journals[partition]})
}

// submit submits work to a core and returns the number of the caller.
func (m *members) submit(core int, w task.Work) uint64 { return m.submitTo(partitionOf(core), w) }

// submitTo submits work to the owner of a partition.
func (m *members) submitTo(partition string, w task.Work) uint64 {
	m.lastCaller++
	core := m.partitionOwners[partition]
	m.unstarted[teamAtCore{core, w.Team}]++
	w.ID = fmt.Sprintf("w%d", m.lastCaller)
	m.apply(core, decision.Submitted{Caller: m.lastCaller, Wait: true, Partition: partition, Work: w})
	return m.lastCaller
}

// teamAtCore identifies the work of a team at a core.
type teamAtCore struct {
	core int
	team string
}

func (m *members) waiting(core int, team string) int { return m.unstarted[teamAtCore{core, team}] }

// runningCount returns the number of running tasks of a team.
func (m *members) runningCount(team string) int {
	n := 0
	for _, r := range m.running {
		if r.Attempt.Work.Team == team {
			n++
		}
	}
	return n
}

// usedBy returns the usage of a team's running tasks.
func (m *members) usedBy(team string) task.Size {
	var used task.Size
	for _, r := range m.running {
		if r.Attempt.Work.Team == team {
			used = used.Plus(r.Size)
		}
	}
	return used
}
