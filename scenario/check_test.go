package scenario_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// attemptRun is one run of an attempt on a worker.
type attemptRun struct {
	worker, attempt string
	start, end      time.Time
	outcome         task.Outcome
}

// history holds what the workers of a cell ran, and the violations found in it.
type history struct {
	// byTask holds the runs of each task, in the order of their start.
	byTask map[string][]attemptRun
	// byWork holds the runs of each piece of work, over all its tasks.
	byWork     map[string][]attemptRun
	violations []string
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// checkCommand stops the load and compares what the workers ran with the answers that
// the callers received:
//
//	check [lost] [repeats] [unbroken] [slowest DURATION]
//
// With lost, work may be answered as unknown. With repeats, only a retry or a
// duplicate may be, since an entry host that does not hold the work knows nothing of
// it; the first answer of every other caller must give the outcome. With unbroken, no
// connection may break while a request is in flight. With slowest, every request must
// be answered within the duration.
func checkCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	c.stopLoads()
	h := c.readHistory(ts)
	h.checkDuplicateStarts(c.idempotentTasks())
	h.checkLeaving(c.leaveTimes)
	counts := map[task.State]int{}
	slowest := time.Duration(0)
	for _, l := range c.loads {
		l.mu.Lock()
		h.checkRegister(l.exchanges)
		for _, a := range l.calls {
			h.checkCall(a)
			counts[a.answer.State]++
			if a.kind == task.Request {
				slowest = max(slowest, a.answered.Sub(a.sent))
			}
			if slices.Contains(args, "unbroken") {
				h.checkConnections(a)
			}
			if a.answer.State == task.Unknown && !slices.Contains(args, "lost") && !(slices.Contains(args, "repeats") && a.firstTryKnown()) {
				h.addViolation("%s (%s, idempotent %v): unknown: %s", a.id, a.kind, a.idempotent, a.answer.Reason)
			}
		}
		l.mu.Unlock()
	}
	ts.Logf("check: %d pieces of work ran, answers %v, slowest request %v", len(h.byWork), counts, slowest.Round(time.Millisecond))
	if i := slices.Index(args, "slowest"); i >= 0 {
		limit, err := time.ParseDuration(args[i+1])
		ts.Check(err)
		if slowest > limit {
			h.addViolation("a request took %v, want at most %v", slowest, limit)
		}
	}
	h.failOnViolations(ts)
}

// checkConnections finds a call whose connection broke while it was in flight. For
// one sent over an idle connection as the host closed it, the host had accepted the
// request if a run on a worker started before the close.
func (h *history) checkConnections(a *call) {
	if a.connectionErr != nil {
		h.addViolation("%s (%s) was in flight when its connection broke: %v", a.id, a.kind, a.connectionErr)
	}
	for _, closed := range a.idleCloses {
		for _, r := range h.byWork[a.team+"/"+a.id] {
			if r.start.Before(closed) && !a.duplicated {
				h.addViolation("%s (%s) had started when its connection was closed", a.id, a.kind)
			}
		}
	}
}

// firstTryKnown reports whether the first answer gave the outcome. It is true for a
// duplicated call, as neither of its callers sets FirstTry.
func (a *call) firstTryKnown() bool { return a.duplicated || a.firstAnswer.State != task.Unknown }

// failOnViolations fails the scenario if there are violations.
func (h *history) failOnViolations(ts *testscript.TestScript) {
	if len(h.violations) > 0 {
		cellOf(ts).fatalf(ts, "%d violations, the first:\n%s", len(h.violations), strings.Join(h.violations[:min(10, len(h.violations))], "\n"))
	}
}

// readHistory reads the journals of all workers, including killed ones.
func (c *cell) readHistory(ts *testscript.TestScript) *history {
	h := &history{byTask: map[string][]attemptRun{}, byWork: map[string][]attemptRun{}}
	for _, name := range c.workers {
		file, err := os.Open(filepath.Join(c.dir, name+".runs"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		ts.Check(err)
		h.readJournal(file, c.killTimes[name])
		file.Close()
	}
	for _, runs := range h.byTask {
		slices.SortFunc(runs, func(a, b attemptRun) int { return a.start.Compare(b.start) })
	}
	return h
}

// readJournal reads the journal of one worker. A run in progress when the worker was
// killed ends at that time.
func (h *history) readJournal(file *os.File, killed []time.Time) {
	running := map[string]*attemptRun{}
	endAll := func(at time.Time) {
		for attempt, i := range running {
			i.end = at
			h.add(*i)
			delete(running, attempt)
		}
	}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var r workerstandin.Run
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			// A kill may have truncated the last line.
			continue
		}
		for len(killed) > 0 && r.At.After(killed[0]) {
			endAll(killed[0])
			killed = killed[1:]
		}
		if r.Overcommitted {
			h.addViolation("worker %s was overcommitted by %s", r.Worker, r.Attempt)
		}
		i := running[r.Attempt]
		switch {
		case r.Outcome == "":
			running[r.Attempt] = &attemptRun{worker: r.Worker, attempt: r.Attempt, start: r.At}
		case i != nil:
			i.end, i.outcome = r.At, r.Outcome
			h.add(*i)
			delete(running, r.Attempt)
		}
	}
	end := time.Now()
	if len(killed) > 0 {
		end = killed[0]
	}
	endAll(end)
}

// ownerlessSuffix matches the suffix that an entry host adds to the ID of a request
// that it runs itself because the owner of the request's partition is unreachable.
var ownerlessSuffix = regexp.MustCompile(`~[^/]*`)

func (h *history) add(i attemptRun) {
	name := ownerlessSuffix.ReplaceAllString(i.attempt[:strings.LastIndex(i.attempt, "/")], "")
	h.byTask[name] = append(h.byTask[name], i)
	work := name[:strings.LastIndex(name, "/")]
	h.byWork[work] = append(h.byWork[work], i)
}

// checkDuplicateStarts finds attempts that started twice. A request that is safe to
// repeat has no record, so two owners may each start a first attempt of it.
func (h *history) checkDuplicateStarts(safe map[string]bool) {
	for name, runs := range h.byTask {
		if safe[name] {
			continue
		}
		seen := map[string]bool{}
		for _, r := range runs {
			if seen[r.attempt] {
				h.addViolation("attempt %s started twice", r.attempt)
			}
			seen[r.attempt] = true
		}
	}
}

// checkCall compares one call with what ran.
func (h *history) checkCall(a *call) {
	runs := h.byWork[a.team+"/"+a.id]
	if a.kind != task.Request || !a.idempotent {
		h.checkOverlap(a)
	}
	if a.kind == task.Request && !a.idempotent && len(runs) > 1 {
		h.addViolation("%s is not idempotent and started %d times", a.id, len(runs))
	}
	switch a.answer.State {
	case "":
		h.addViolation("%s (%s, idempotent %v) got no answer", a.id, a.kind, a.idempotent)
	case task.NotRun:
		h.checkNotRun(a, runs)
	case task.Ran:
		h.checkBodies(a)
	}
	if a.accepted && a.answer.State != task.Ran {
		h.addViolation("%s (%s) was accepted and is now %q: %s", a.id, a.kind, a.answer.State, a.answer.Reason)
	}
	if late := a.answered.Sub(a.sent) - loadDeadline; a.kind == task.Request && !a.answered.IsZero() && late > deadlineGrace {
		h.addViolation("%s was answered %v after its deadline", a.id, late)
	}
}

// checkNotRun finds work that started although it was answered as not run.
// Duplicated calls are left to checkRegister, as the other caller may have had the
// work run later. A later unanswered try of the same caller may also have had it run,
// but not before that try was sent.
func (h *history) checkNotRun(a *call, runs []attemptRun) {
	if a.duplicated {
		return
	}
	unanswered := a.retrySent.After(a.answered)
	for _, r := range runs {
		if unanswered && r.start.After(a.retrySent) {
			continue
		}
		h.addViolation("%s (%s, idempotent %v) was answered as not run (%s) and started on %s",
			a.id, a.kind, a.idempotent, a.answer.Code, r.worker)
	}
}

// idempotentTasks returns the tasks of requests that are safe to repeat.
func (c *cell) idempotentTasks() map[string]bool {
	safe := map[string]bool{}
	for _, l := range c.loads {
		l.mu.Lock()
		for _, a := range l.calls {
			if a.kind == task.Request && a.idempotent {
				safe[a.team+"/"+a.id+"/0"] = true
			}
		}
		l.mu.Unlock()
	}
	return safe
}

// checkOverlap finds a task of which two runs overlapped in time.
func (h *history) checkOverlap(a *call) {
	for i := range a.tasks {
		runs := h.byTask[fmt.Sprintf("%s/%s/%d", a.team, a.id, i)]
		for k := 1; k < len(runs); k++ {
			if before := runs[k-1]; runs[k].start.Before(before.end) {
				h.addViolation("%s ran on %s until %v and on %s from %v", before.attempt, before.worker,
					before.end.Format(time.StampMilli), runs[k].worker, runs[k].start.Format(time.StampMilli))
			}
		}
	}
}

// reachedCommand waits until N more pieces of work have been answered as Ran:
//
//	reached N
func reachedCommand(ts *testscript.TestScript, _ bool, args []string) {
	var more int
	_, err := fmt.Sscanf(args[0], "%d", &more)
	ts.Check(err)
	c := cellOf(ts)
	began := time.Now()
	goal := c.countRan() + more
	for c.countRan() < goal {
		if time.Since(began) > waitTimeout {
			c.fatalf(ts, "received only %d of %d more answers", more-(goal-c.countRan()), more)
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Logf("reached %d more answers in %v", more, time.Since(began).Round(time.Millisecond))
}

// countRan returns the number of calls whose last answer is Ran.
func (c *cell) countRan() int {
	n := 0
	for _, l := range c.loads {
		l.mu.Lock()
		for _, a := range l.calls {
			if a.answer.State == task.Ran {
				n++
			}
		}
		l.mu.Unlock()
	}
	return n
}
