package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// answerWorkers is the number of workers, of which each step may run on half.
	answerWorkers = 6
	// answerJobs is the most jobs of a trial.
	answerJobs = 12
)

// answerTrial plays steps that need advice while workers leave and come back, and answers
// are late, lost, or come again.
type answerTrial struct {
	*world
	t *rapid.T
	// submitted counts the jobs.
	submitted int
	// answered holds questions that may be answered once more.
	answered []cell.Question
}

// good reports whether a worker may run the steps of a job, which never changes.
func good(worker, job string) bool { return (worker[len(worker)-1]+job[len(job)-1])%2 == 0 }

func (tr *answerTrial) draw(name string) *fakeWorker {
	return tr.workers[fmt.Sprintf("w%d", rapid.IntRange(0, answerWorkers-1).Draw(tr.t, name))]
}

func (tr *answerTrial) submitAny() {
	if tr.submitted == answerJobs {
		return
	}
	tr.submitted++
	gang, queue := rapid.Bool().Draw(tr.t, "gang"), rapid.SampledFrom([]string{"Advised", "Advised", "Plain"}).Draw(tr.t, "queue")
	tr.submit(job(id(tr.submitted), queue, rapid.IntRange(1, 5).Draw(tr.t, "tasks"), func(s *workload.Step) {
		s.Gang, s.Size.Processors = gang, int64(rapid.IntRange(1, 9).Draw(tr.t, "processors"))*task.Processor
	}))
}

// answer answers one of the questions, as of some time ago.
func (tr *answerTrial) answer(from *[]cell.Question) {
	if len(*from) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(tr.t, "question")
	q := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	tr.advised(q, time.Duration(rapid.IntRange(0, 3000).Draw(tr.t, "age"))*ms)
	tr.answered = append(tr.answered, q)
}

func (tr *answerTrial) advised(q cell.Question, age time.Duration) {
	tickets := map[string]string{}
	for _, id := range q.Workers {
		if good(id, q.Step.Job) {
			tickets[id] = "T"
		}
	}
	tr.HandleAdvice(tr.now, tr.now-age, q, tickets)
	tr.step()
}

func (tr *answerTrial) act() {
	switch rapid.IntRange(0, 10).Draw(tr.t, "act") {
	case 0, 1:
		tr.submitAny()
	case 2:
		tr.answer(&tr.questions)
	case 3:
		tr.answer(&tr.answered)
	case 4:
		if len(tr.questions) > 0 {
			tr.questions = tr.questions[1:]
		}
	case 5:
		tr.RemoveWorker(tr.now, tr.draw("gone").ID)
		tr.step()
	case 6:
		tr.HandleAnnouncement(tr.now, tr.draw("back").Worker)
		tr.step()
	case 7:
		tr.takeOver()
	case 8:
		tr.draw("ends").endAll(cell.EndedDone)
	default:
		tr.pass(time.Duration(rapid.IntRange(1, 2000).Draw(tr.t, "length")) * ms)
	}
}

// takeOver begins a new owner with what the one before has recorded. Some workers have lapsed
// from the list, and the answers of earlier tenures may be passed on.
func (tr *answerTrial) takeOver() {
	tr.answered = append(tr.answered, tr.takeQuestions()...)
	tr.Cell = cell.New(options())
	tr.SetCatalogue(catalogue())
	for range answerWorkers {
		tr.HandleAnnouncement(tr.now, tr.draw("listed").Worker)
	}
	tr.Tick(tr.now, tr.now.Milliseconds())
	for _, id := range slices.Sorted(maps.Keys(tr.jobs)) {
		if p := tr.progress[id]; !p.Closed() {
			tr.Restore(tr.now, tr.now, tr.jobs[id], p)
		}
	}
	tr.step()
}

// Whatever became of workers and answers, all steps, with advice or without, come to an end once
// workers stay and answers come. Of the workers some never come back: only what these alone
// could run waits on, and keeps nothing else.
func TestAllAdvisedJobsEndAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &answerTrial{world: newWorld(answerWorkers), t: t}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			tr.act()
		}
		left := rapid.IntRange(0, answerWorkers-1).Draw(t, "left")
		for n := range answerWorkers {
			if name := fmt.Sprintf("w%d", n); n < left {
				tr.RemoveWorker(tr.now, name)
			} else {
				tr.HandleAnnouncement(tr.now, tr.workers[name].Worker)
			}
		}
		tr.calm()
		for n := range tr.submitted {
			if id := id(n + 1); tr.states[id] != workload.Done && tr.canRun(id, left) {
				t.Fatalf("job %d is %s: %+v", n+1, tr.states[id], tr.progress[id])
			}
		}
	})
}

// calm lets a minute pass in which questions are answered and runs end.
func (tr *answerTrial) calm() {
	for range 120 {
		tr.pass(500 * ms)
		for _, q := range tr.takeQuestions() {
			tr.advised(q, 0)
		}
		for _, f := range tr.workers {
			f.endAll(cell.EndedDone)
		}
	}
	tr.reportAll()
}

// canRun reports whether the workers from a number on can run a job.
func (tr *answerTrial) canRun(id string, from int) bool {
	s, slots := tr.jobs[id].Steps[0], 0
	for n := from; n < answerWorkers; n++ {
		if f := tr.workers[fmt.Sprintf("w%d", n)]; tr.jobs[id].Queue == "Plain" || good(f.ID, id) {
			slots += int(f.Capacity.Processors / s.Size.Processors)
		}
	}
	return slots >= s.TaskCount || slots > 0 && !s.Gang
}

func (tr *answerTrial) takeQuestions() []cell.Question {
	questions := tr.questions
	tr.questions = nil
	return questions
}
