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

// backgroundTeam is the index of the team whose weight the background operators
// change. No other command changes it.
const backgroundTeam = loadTeams - 1

// background holds the calls of callers and operators that run concurrently with the
// script.
type background struct {
	wait sync.WaitGroup

	mu sync.Mutex
	// waves is the number of waves started; it makes the IDs of each unique.
	waves int
	// cancellations has one entry per piece of work of the waves.
	cancellations []*cancellation
	// tried and accepted count configuration changes. One that was tried and not
	// accepted may still have taken effect.
	tried, accepted int
}

// cancellation is one piece of work that its caller cancels, with the final answer.
type cancellation struct {
	id       string
	answer   caller.Answer
	answered time.Time
}

// meanwhileCommand runs callers and operators in the background of the script:
//
//	meanwhile wave N ENTRY...    submit N batch runs and cancel them while they start
//	meanwhile change ENTRY...    retry a configuration change until it is accepted
//	meanwhile end                wait for all of them, and check their answers
//
// Each of them tries one entry host after another until it has its answer. A run must
// be answered as Cancelled or Ran, and none of its tasks may run after that answer.
// Every accepted change must be in the configuration, and no change that nobody tried.
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

// submitAndCancel submits a batch run and retries its cancellation until the answer
// is final.
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
				// A host that can't read the row can't change it either; not a try.
				continue
			}
			if m.recordChange(c.change(entry, backgroundTeam)) {
				return
			}
		}
	}()
}

// recordChange records the result of a change and reports whether the operator is
// done.
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
				h.addViolation("%s ran until %v after its caller received the final answer", r.attempt, r.end.Sub(a.answered))
			}
		}
	}
	ts.Logf("meanwhile: answers %v, %d changes accepted of %d tried", counts, c.background.accepted, c.background.tried)
	h.failOnViolations(ts)
	c.checkChanges(ts)
}

// checkChanges checks that the number of changes in the configuration is between
// those accepted and those tried.
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
		ts.Fatalf("%d changes in version %d, want between %d accepted and %d tried", weight, last.Version, m.accepted, m.tried)
	}
}

// ownerCommand looks up the entry host that owns a rack:
//
//	owner RACK
//
// It sets the variable owner to its name, other to the name of another entry host,
// and otherops to that host's address for operators.
func ownerCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	var owner string
	retry(ts, func() error {
		if owner = c.ownerOf(args[0]); owner == "" {
			return fmt.Errorf("no entry host owns %s", args[0])
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

// takenoverCommand waits until the remaining entry hosts have taken over everything
// that the named, failed ones owned:
//
//	takenover ENTRY...
func takenoverCommand(ts *testscript.TestScript, _ bool, args []string) {
	rest := slices.DeleteFunc(slices.Clone(cellOf(ts).entries), func(name string) bool { return slices.Contains(args, name) })
	settledCommand(ts, false, rest)
}
