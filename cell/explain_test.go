package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// explainedEvent is a random event of a world.
type explainedEvent struct {
	Kind, Worker int
	Length       time.Duration
	Job          workload.Job
}

func drawEvent(t *rapid.T) explainedEvent {
	e := explainedEvent{
		Kind: rapid.IntRange(0, 9).Draw(t, "kind"), Worker: rapid.IntRange(0, 7).Draw(t, "worker"), Length: time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * ms,
	}
	queue := rapid.SampledFrom([]string{"Plain", "Advised", "Twice"}).Draw(t, "queue")
	e.Job = of(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation"), job("", queue, rapid.IntRange(1, 12).Draw(t, "tasks"), func(s *workload.Step) {
		s.Size.Processors = int64(rapid.IntRange(1, 9).Draw(t, "processors")) * task.Processor
		s.Estimate = rapid.SampledFrom([]time.Duration{second, 3 * second, 20 * second}).Draw(t, "estimate")
		s.Gang, s.Checkpoints, s.MaxPerWorker = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "checkpoints"), rapid.IntRange(0, 2).Draw(t, "most")
	}))
	if rapid.Bool().Draw(t, "second step") {
		e.Job.Steps = append(e.Job.Steps, workload.Step{TaskCount: 2, Size: e.Job.Steps[0].Size, Estimate: second, After: []int{0}})
	}
	e.Job.BeyondShare = rapid.Bool().Draw(t, "beyond")
	return e
}

// apply applies event number n, and calls explain before each scheduling pass and after it.
func (w *world) apply(n int, e explainedEvent, explain func()) {
	f := w.workers[fmt.Sprintf("w%d", e.Worker)]
	switch e.Kind {
	case 0, 1, 2, 3:
		e.Job.ID = id(n)
		w.Submit(w.now, e.Job)
	case 4:
		w.now += e.Length
	case 5:
		f.endAll(cell.EndedFailed)
		w.report(f.ID)
	case 6:
		f.unresponsive = !f.unresponsive
	case 7:
		w.advise(func(id string) bool { return (int(id[1])+n)%3 > 0 })
	default:
		w.advance(e.Length)
		explain()
		f.endAll(cell.EndedDone)
		w.report(f.ID)
	}
	explain()
	w.Schedule(w.now)
	explain()
	w.step()
}

// decisions formats what a world has decided so far.
func (w *world) decisions() string {
	text := ""
	for _, s := range w.starts {
		text += fmt.Sprintln("start", s.Worker.ID, s.Task, s.Run, s.Checkpoint, s.Ticket)
	}
	for _, s := range w.stops {
		text += fmt.Sprintln("stop", s.Worker.ID, s.Task, s.Run)
	}
	return text + fmt.Sprintln(w.questions, w.logEntries, w.OrganisationLoads(), w.Load(w.now))
}

// An operator asks about jobs again and again while the cell is busy. The cell must decide what it
// would have decided anyway: an explanation that ranked steps, grouped workers or held room in the
// cell itself would change the scheduling order or its questions.
func TestExplainChangesNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quiet, asked := newLimitedWorld(8, 25), newLimitedWorld(8, 25)
		for n := range rapid.IntRange(10, 40).Draw(t, "events") {
			e := drawEvent(t)
			quiet.apply(n, e, func() {})
			asked.apply(n, e, func() {
				// The fingerprint takes much longer than an explanation.
				checked := n%8 == 7
				var before uint64
				if checked {
					before = asked.Fingerprint()
				}
				for _, i := range []int{n, n / 2, n / 4} {
					// Some are not known.
					_, _ = asked.Explain(asked.now, cell.Query{Job: id(i)})
				}
				if _, err := asked.Explain(asked.now, cell.Query{Queue: e.Job.Queue, Organisation: e.Job.Organisation, Step: e.Job.Steps[0]}); err != nil {
					t.Fatal(err)
				}
				if checked && asked.Fingerprint() != before {
					t.Fatal("an explanation changed the state of the cell")
				}
			})
		}
		if q, a := quiet.decisions(), asked.decisions(); q != a {
			t.Fatalf("decided\n%s\nwithout explanations, and with them\n%s", q, a)
		}
	})
}

// explain explains a job and returns its last step, with the causes and numbers of waiting tasks.
func (w *world) explain(c *qt.C, id string) (cell.StepExplanation, []string) {
	e, err := w.Explain(w.now, cell.Query{Job: id})
	c.Assert(err, qt.IsNil)
	s := e.Steps[len(e.Steps)-1]
	var waits []string
	for _, wait := range s.Waits {
		waits = append(waits, fmt.Sprint(wait.Cause, " ", wait.Tasks))
	}
	return s, waits
}

// Each cause of waiting must be told apart from the others, as each has another remedy.
func TestExplainTellsEachCause(t *testing.T) {
	for _, test := range []struct {
		want string
		// setUp makes job 1 wait.
		setUp func(w *world)
	}{
		{"Routing 2", func(w *world) { w.submit(job(id(1), "None", 2, nil)) }},
		{"Dependencies 1", func(w *world) {
			j := job(id(1), "Plain", 1, nil)
			j.Steps = append(j.Steps, workload.Step{TaskCount: 1, After: []int{0}})
			w.submit(j)
		}},
		{"Backoff 1", func(w *world) {
			w.submit(job(id(1), "Twice", 1, nil))
			w.workers["w0"].endAll(cell.EndedFailed)
			w.workers["w1"].endAll(cell.EndedFailed)
			w.reportAll()
		}},
		{"Members 1", func(w *world) {
			w.submit(job(id(1), "Plain", 2, func(s *workload.Step) { s.Gang, s.MaxPerWorker = true, 1 }))
			w.workers["w1"].unresponsive = true
			w.workers["w0"].endAll(cell.EndedFailed)
			w.reportAll()
			w.now += 500 * ms
		}},
		{"Limit 1", func(w *world) {
			w.setLimit(2, 3)
			w.submit(of("a", job(id(1), "Plain", 2, nil)))
		}},
		{"Question 2", func(w *world) { w.Submit(w.now, job(id(1), "Advised", 2, nil)) }},
		{"Advice 2", func(w *world) { w.submit(job(id(1), "Advised", 2, nil)) }},
		{"Tickets 2", func(w *world) {
			w.submit(job(id(2), "Plain", 10, nil))
			w.submit(job(id(1), "Advised", 2, nil))
			w.advise(func(string) bool { return true })
			w.now += 2500 * ms
			w.workers["w0"].endAll(cell.EndedDone)
			w.report("w0")
		}},
		{"Eligibility 2", func(w *world) {
			w.submit(job(id(1), "Advised", 2, nil))
			w.advise(func(string) bool { return false })
		}},
		{"Worker 1", func(w *world) {
			w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 11 * task.Processor }))
		}},
		{"Room 3", func(w *world) { w.submit(job(id(1), "Plain", 13, nil)) }},
		{"Rotation 1", func(w *world) {
			for n := range 201 {
				w.Submit(w.now, job(id(2+n), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 11 * task.Processor }))
			}
			w.Submit(w.now, job(id(1), "Plain", 1, func(s *workload.Step) { s.Estimate = 20 * second }))
		}},
	} {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(2)
			test.setUp(w)
			_, waits := w.explain(c, id(1))
			c.Assert(waits, qt.DeepEquals, []string{test.want})
		})
	}
}

// A gang holds the last free room. The operator must learn which steps come before a job, that the
// room is held, and when the runs that use the rest end; and the tasks of a step without rivals must
// be said to go where they then go.
func TestExplainTellsPlacesAndRanks(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	running := job(id(1), "Plain", 4, func(s *workload.Step) { s.Estimate = 4 * second })
	w.Submit(w.now, running)
	s, waits := w.explain(c, id(1))
	c.Assert(waits, qt.HasLen, 0)
	c.Assert(s.Starts, qt.HasLen, 1)
	c.Assert([]any{s.Starts[0].Tasks, s.Starts[0].Worker, s.Starts[0].Rack}, qt.DeepEquals, []any{4, "w0", "r0"})
	w.step()
	s, _ = w.explain(c, id(1))
	c.Assert(s.Runs, qt.HasLen, 4)
	before := *s.Runs[0].EndSeconds
	c.Assert(before > 0 && before <= *s.Runs[0].LikelyEndSeconds, qt.IsTrue)
	w.submit(job(id(2), "Plain", 3, asGang))
	w.submit(job(id(3), "Plain", 1, func(s *workload.Step) { s.Estimate = 4 * second }))
	s, waits = w.explain(c, id(2))
	c.Assert(waits, qt.DeepEquals, []string{"Room 3"})
	c.Assert([]any{s.Rank, s.FittingTasks, s.HoldsRoom, s.Lateness}, qt.DeepEquals, []any{1, 1, true, "InTime"})
	s, waits = w.explain(c, id(3))
	c.Assert(waits, qt.DeepEquals, []string{"Room 1"})
	c.Assert([]any{s.Rank, s.FittingTasks, s.RankedBefore}, qt.DeepEquals, []any{2, 0, []string{id(2) + ".0.0"}})
	w.now += second
	s, _ = w.explain(c, id(1))
	c.Assert(*s.Runs[0].EndSeconds < before, qt.IsTrue)
}

// A name that an operator mistypes must be reported as unknown, and not as a job that waits.
func TestExplainRefusesUnknownNames(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	step := job("", "", 1, nil).Steps[0]
	unknown := []cell.Query{{Job: id(1)}, {Queue: "None", Step: step}, {Queue: "Plain", Organisation: "none", Step: step}}
	for _, q := range unknown {
		_, err := w.Explain(w.now, q)
		c.Assert(errors.Is(err, errors.NotFound), qt.IsTrue, qt.Commentf("%+v: %v", q, err))
	}
	_, err := w.Explain(w.now, cell.Query{Queue: "Plain", Step: workload.Step{TaskCount: workload.MaxTasks + 1}})
	c.Assert(errors.Is(err, errors.NotValid), qt.IsTrue)
	e, err := w.Explain(w.now, cell.Query{Queue: "Plain", Step: step})
	c.Assert(err, qt.IsNil)
	c.Assert(e.Steps[0].Starts, qt.HasLen, 1)
	c.Assert(w.JobCount(), qt.Equals, 0)
}
