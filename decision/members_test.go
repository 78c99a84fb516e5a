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
	// memberStep is the pause between two steps of members, and the time after
	// which a member hears of a change in a rack that is not its own.
	memberStep = 20 * time.Millisecond
	// stepsPerTick is the number of steps from one tick to the next.
	stepsPerTick = 5
)

// members drives some cores that place on the same racks, each of which has one
// of them for its owner.
type members struct {
	now    time.Time
	random *rand.Rand
	cores  []*decision.Core
	racks  []*rack.Rack
	// index is the place of each rack by name.
	index map[string]int
	// owners holds the core that owns each rack.
	owners []int
	told   []uint64
	// late holds the events that each core hears at the next step.
	late [][]decision.Event
	// homes holds the core that owns each partition, and journals what it holds.
	homes    map[string]int
	journals map[string][]record.Entry
	running  []run
	next     uint64
	steps    int
	replies  map[uint64]task.Answer
	// queued counts the tasks of each team that were sent to a core and have not
	// started.
	queued map[queuedAt]int
	// summaries counts the summaries that were told.
	summaries int
	// failing holds the workers that end each attempt with an error at once, and
	// attempts and failures count what has ended.
	failing            map[string]bool
	attempts, failures int
}

// run is an attempt that runs.
type run struct {
	decision.Command
	ends time.Time
}

// newMembers returns cores and racks of eight workers, each with room for four
// tasks. ownerOf returns the core that owns a rack.
func newMembers(cores, racks int, seed uint64, ownerOf func(rack int) int) *members {
	m := &members{now: epoch, random: rand.New(rand.NewPCG(seed, 0)), replies: map[uint64]task.Answer{}, index: map[string]int{}, queued: map[queuedAt]int{},
		homes: map[string]int{}, journals: map[string][]record.Entry{}}
	for i := range cores {
		m.cores = append(m.cores, decision.New(decision.Options{Region: "centro", DiscoveryPeriod: -1, Seed: seed + uint64(i)}))
		m.late = append(m.late, nil)
	}
	for i := range racks {
		name := fmt.Sprintf("r%02d", i)
		m.index[name] = i
		r := rack.New(name, "centro", fmt.Sprintf("z%d", i%3), 1)
		for k := range 8 {
			r.SetWorker(fmt.Sprintf("%s-%d", name, k), rack.Up,
				task.Size{Processors: 4000, Memory: 16 * task.Gibibyte, Slots: 64, Connections: 64})
		}
		m.racks = append(m.racks, r)
		m.owners = append(m.owners, ownerOf(i))
		m.told = append(m.told, 0)
	}
	for i := range m.cores {
		m.own(partitionOf(i), i)
	}
	m.tellRacks()
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

// places is the number of tasks that run at once.
func (m *members) places() int { return len(m.racks) * 8 * 4 }

func (m *members) apply(core int, e decision.Event) {
	events := []decision.Event{e}
	for i := 0; i < len(events); i++ {
		for _, a := range m.cores[core].Apply(m.now, events[i]) {
			switch a := a.(type) {
			case decision.Record:
				m.journals[a.Partition] = append(m.journals[a.Partition], a.Entry)
				events = append(events, decision.Recorded{Token: a.Token})
			case decision.Command:
				events = append(events, m.command(core, a)...)
			case decision.Reply:
				m.replies[a.Caller] = a.Answer
			case decision.SendSummary:
				m.tell(core, a.Summary)
			}
		}
	}
}

// tell lets the other cores hear a summary at the next step.
func (m *members) tell(from int, s decision.Summary) {
	m.summaries++
	for i := range m.cores {
		if i != from {
			m.late[i] = append(m.late[i], decision.SummaryReceived{Member: partitionOf(from), Summary: s})
		}
	}
}

// command carries a command out and returns the report that follows.
func (m *members) command(core int, a decision.Command) []decision.Event {
	i := m.index[a.Rack]
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
		m.queued[queuedAt{core, a.Attempt.Work.Team}]--
		m.running = append(m.running, run{Command: a, ends: m.now.Add(m.length(a))})
	case decision.Confirm:
		report.Status = decision.Placed
		m.running = append(m.running, run{Command: a, ends: m.now.Add(m.length(a))})
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
		if !slices.ContainsFunc(m.running, func(r run) bool { return r.Attempt == a.Attempt }) {
			report.Status, report.Outcome = decision.Refused, ""
		}
		m.running = slices.DeleteFunc(m.running, func(r run) bool { return r.Attempt == a.Attempt })
	default:
		return nil
	}
	report.Sequence = m.racks[i].Sequence()
	return []decision.Event{report}
}

// length returns how long an attempt runs: between half of its declared run time
// and one and a half, a service for good, and what fails not at all.
func (m *members) length(a decision.Command) time.Duration {
	switch {
	case m.failing[a.Worker]:
		return memberStep
	case a.Kind == task.Service:
		return time.Hour
	}
	return a.RunTime/2 + time.Duration(m.random.Int64N(int64(a.RunTime)+1))
}

// tellRacks lets the owner of each changed rack hear of it at once, and the
// others at the next step.
func (m *members) tellRacks() {
	for i, r := range m.racks {
		if m.told[i] == r.Sequence() {
			continue
		}
		m.told[i] = r.Sequence()
		e := decision.DigestChanged{Digest: r.Digest()}
		for k := range m.cores {
			if k != m.owners[i] {
				m.late[k] = append(m.late[k], e)
			}
		}
		m.apply(m.owners[i], e)
	}
}

// step lets time pass until the next step.
func (m *members) step() {
	m.now = m.now.Add(memberStep)
	m.steps++
	late := m.late
	m.late = make([][]decision.Event, len(m.cores))
	for _, i := range m.random.Perm(len(m.cores)) {
		for _, e := range late[i] {
			m.apply(i, e)
		}
		if m.steps%stepsPerTick == 0 {
			m.apply(i, decision.Tick{})
		}
	}
	m.end()
	m.tellRacks()
}

// end ends what has run for long enough.
func (m *members) end() {
	var ended []run
	m.running = slices.DeleteFunc(m.running, func(r run) bool {
		over := !m.now.Before(r.ends)
		if over {
			ended = append(ended, r)
		}
		return over
	})
	for _, r := range ended {
		i := m.index[r.Rack]
		m.racks[i].Release(r.Attempt)
		m.attempts++
		outcome := task.Succeeded
		if m.failing[r.Worker] {
			m.failures++
			outcome = task.Broke
		}
		m.apply(m.homes[r.Partition], decision.Report{Status: decision.Ended, Attempt: r.Attempt, Rack: r.Rack, Worker: r.Worker,
			Epoch: 1, Sequence: m.racks[i].Sequence(), Outcome: outcome})
	}
}

// own makes a core the owner of a partition.
func (m *members) own(partition string, core int) {
	if former, ok := m.homes[partition]; ok {
		m.apply(former, decision.PartitionLost{Partition: partition})
	}
	m.homes[partition] = core
	m.apply(core, decision.PartitionRecovered{Partition: partition, Entries: m.journals[partition]})
}

// submit sends work to a core and returns the number of the caller.
func (m *members) submit(core int, w task.Work) uint64 { return m.submitTo(partitionOf(core), w) }

// submitTo sends work to the owner of a partition.
func (m *members) submitTo(partition string, w task.Work) uint64 {
	m.next++
	core := m.homes[partition]
	m.queued[queuedAt{core, w.Team}]++
	w.ID = fmt.Sprintf("w%d", m.next)
	m.apply(core, decision.Submitted{Caller: m.next, Wait: true, Partition: partition, Work: w})
	return m.next
}

// queuedAt names the work of a team at a core.
type queuedAt struct {
	core int
	team string
}

func (m *members) waiting(core int, team string) int { return m.queued[queuedAt{core, team}] }

// of counts the tasks of a team that run.
func (m *members) of(team string) int {
	n := 0
	for _, r := range m.running {
		if r.Attempt.Work.Team == team {
			n++
		}
	}
	return n
}

// usedBy returns what the running tasks of a team take.
func (m *members) usedBy(team string) task.Size {
	var used task.Size
	for _, r := range m.running {
		if r.Attempt.Work.Team == team {
			used = used.Plus(r.Size)
		}
	}
	return used
}
