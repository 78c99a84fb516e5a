package scenario_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/task"
)

// backgroundTeam is the team whose weight the operators of meanwhile change. No
// other command changes it.
const backgroundTeam = loadTeams - 1

// background is what callers and operators do while a scenario goes on.
type background struct {
	wait sync.WaitGroup

	mu sync.Mutex
	// waves is the number of waves begun; the IDs of each differ.
	waves int
	// cancellations holds one for each piece of work of the waves.
	cancellations []*cancellation
	// tried and accepted count the changes of the configuration. One that was
	// tried and not accepted may have taken effect.
	tried, accepted int
}

// cancellation is the history of one piece of work that its caller cancels.
type cancellation struct {
	id       string
	answer   caller.Answer
	answered time.Time
}

// meanwhileCommand lets callers and operators act while the scenario goes on:
//
//	meanwhile wave N ENTRY...    N batch runs are submitted, and cancelled while they start
//	meanwhile change ENTRY...    an operator changes the configuration, until it is accepted
//	meanwhile end                wait for all of them, and check their answers
//
// Each of them asks one entry host after another until it has its answer. A run must
// be answered as cancelled, with no task running any more, or as run. A change that
// was accepted stands, and none stands that nobody tried.
func meanwhileCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "wave":
		number, err := strconv.Atoi(args[1])
		ts.Check(err)
		c.startWave(number, args[2:])
	case "change":
		c.startChange(args[1:])
	case "end":
		c.background.wait.Wait()
		c.checkBackground(ts)
	default:
		ts.Fatalf("usage: meanwhile wave|change|end")
	}
}

func (c *cell) startWave(number int, entries []string) {
	m := &c.background
	m.waves++
	for i := range number {
		a := &cancellation{id: fmt.Sprintf("meanwhile-%d-%d", m.waves, i)}
		m.cancellations = append(m.cancellations, a)
		m.wait.Add(1)
		go func() {
			defer m.wait.Done()
			a.answer = c.submitAndCancel(entries, a.id)
			a.answered = time.Now()
		}()
	}
}

// submitAndCancel submits a batch run and asks for its end until the answer is
// final.
func (c *cell) submitAndCancel(entries []string, id string) caller.Answer {
	l := &load{cell: c}
	w := submission{Team: "domes", ID: id, Kind: task.Batch, Tasks: 1, Idempotent: true, RunTime: 30 * time.Second}
	limit := time.Now().Add(waitTimeout)
	entry := 0
	retryEntries := func(try func(entry string) (caller.Answer, error), done func(caller.Answer) bool) (last caller.Answer) {
		for time.Now().Before(limit) {
			answer, err := try(entries[entry%len(entries)])
			if err == nil && done(answer) {
				return answer
			}
			last = answer
			entry++
			time.Sleep(callerRetryInterval)
		}
		return last
	}
	retryEntries(func(entry string) (caller.Answer, error) {
		return l.submitNoWait(entry, w)
	}, func(a caller.Answer) bool { return a.RetryAfter == 0 })
	return retryEntries(func(entry string) (caller.Answer, error) {
		return l.request(entry, w.Team, http.MethodDelete, "/v1/work/"+id, nil)
	}, func(a caller.Answer) bool { return a.State.Final() && a.RetryAfter == 0 })
}

func (c *cell) startChange(entries []string) {
	m := &c.background
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		limit := time.Now().Add(waitTimeout)
		for i := 0; time.Now().Before(limit); i++ {
			time.Sleep(callerRetryInterval)
			entry := entries[i%len(entries)]
			if _, err := c.readConfiguration(entry); err != nil {
				// Nothing is tried through a host that can't read the row.
				continue
			}
			if m.recordChange(c.change(entry, backgroundTeam)) {
				return
			}
		}
	}()
}

// recordChange notes the answer to a change and reports whether the operator is done.
func (m *background) recordChange(version uint64, conflict bool, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if conflict {
		return false
	}
	m.tried++
	if err != nil {
		return false
	}
	m.accepted++
	return true
}

func (c *cell) checkBackground(ts *testscript.TestScript) {
	h := c.readHistory(ts)
	counts := map[task.State]int{}
	for _, a := range c.background.cancellations {
		counts[a.answer.State]++
		if a.answer.State != task.Cancelled && a.answer.State != task.Ran {
			h.addViolation("%s was cancelled and answered as %q: %s", a.id, a.answer.State, a.answer.Reason)
		}
		for _, r := range h.byWork["domes/"+a.id] {
			if r.end.After(a.answered) {
				h.addViolation("%s ran until %v after its caller was told that it ended", r.attempt, r.end.Sub(a.answered))
			}
		}
	}
	ts.Logf("meanwhile: answers %v, %d changes accepted of %d tried", counts, c.background.accepted, c.background.tried)
	h.failOnViolations(ts)
	c.checkChanges(ts)
}

// checkChanges holds the configuration against the changes that were tried.
func (c *cell) checkChanges(ts *testscript.TestScript) {
	m := &c.background
	if m.tried == 0 {
		return
	}
	last, err := c.readConfiguration(c.entries[0])
	ts.Check(err)
	c.acceptedVersion = max(c.acceptedVersion, last.Version)
	weight := int(last.Teams[loadTeam(backgroundTeam)].Weight)
	if m.accepted == 0 || weight < m.accepted || weight > m.tried {
		ts.Fatalf("%d changes stand in version %d, %d were accepted of %d tried", weight, last.Version, m.accepted, m.tried)
	}
}

// ownerCommand tells which entry host owns a rack:
//
//	owner RACK
//
// Its name is then in the variable owner, that of another host in other, and the
// address of the other for operators in otherops.
func ownerCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	var owner string
	retry(ts, func() error {
		if owner = c.ownerOf(args[0]); owner == "" {
			return fmt.Errorf("nobody owns %s", args[0])
		}
		return nil
	})
	other := c.entries[(slices.Index(c.entries, owner)+1)%len(c.entries)]
	ts.Setenv("owner", owner)
	ts.Setenv("other", other)
	ts.Setenv("otherops", c.addresses["ops"+other[1:]])
	ts.Logf("owner: %s has %s", owner, args[0])
}

// ownerOf returns the entry host that owns a rack, or "".
func (c *cell) ownerOf(rack string) string {
	for _, name := range c.entries {
		d, err := c.dump(name)
		if err != nil {
			continue
		}
		for _, r := range d.Racks {
			if r.Name == rack {
				return name
			}
		}
	}
	return ""
}

// takenoverCommand waits until the other entry hosts have taken over everything that
// those that are lost owned:
//
//	takenover ENTRY...
func takenoverCommand(ts *testscript.TestScript, _ bool, args []string) {
	rest := slices.DeleteFunc(slices.Clone(cellOf(ts).entries), func(name string) bool { return slices.Contains(args, name) })
	settledCommand(ts, false, rest)
}
