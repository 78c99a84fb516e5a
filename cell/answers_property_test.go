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
	// answerWorkers is the number of workers. Each step may run on half of them.
	answerWorkers = 6
	// answerJobs is the maximum number of jobs in a trial.
	answerJobs = 12
)

// answerTrial exercises steps that need advice, while workers leave and return and answers
// are late, lost or repeated.
type answerTrial struct {
	*world
	t *rapid.T
	// submitted is the number of submitted jobs.
	submitted int
	// answered holds answered questions, which may be answered again.
	answered []cell.Question
}

// mayRun reports whether a worker may run the steps of a job. The result never changes.
func mayRun(worker, job string) bool { return (worker[len(worker)-1]+job[len(job)-1])%2 == 0 }

func (tr *answerTrial) randomWorker(name string) *fakeWorker {
	return tr.workers[fmt.Sprintf("w%d", rapid.IntRange(0, answerWorkers-1).Draw(tr.t, name))]
}

func (tr *answerTrial) submitRandom() {
	if tr.submitted == answerJobs {
		return
	}
	tr.submitted++
	gang, queue := rapid.Bool().Draw(tr.t, "gang"), rapid.SampledFrom([]string{"Advised", "Advised", "Plain"}).Draw(tr.t, "queue")
	tr.submit(job(id(tr.submitted), queue, rapid.IntRange(1, 5).Draw(tr.t, "tasks"), func(s *workload.Step) {
		s.Gang, s.Size.Processors = gang, int64(rapid.IntRange(1, 9).Draw(tr.t, "processors"))*task.Processor
	}))
}

// answer answers one of the given questions, with tickets received some time ago.
func (tr *answerTrial) answer(from *[]cell.Question) {
	if len(*from) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(tr.t, "question")
	q := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	tr.sendAnswer(q, time.Duration(rapid.IntRange(0, 3000).Draw(tr.t, "age"))*ms)
	tr.answered = append(tr.answered, q)
}

func (tr *answerTrial) sendAnswer(q cell.Question, age time.Duration) {
	tickets := map[string]string{}
	for _, id := range q.Workers {
		if mayRun(id, q.Step.Job) {
			tickets[id] = "T"
		}
	}
	tr.HandleAdvice(tr.now, tr.now-age, q, tickets)
	tr.step()
}

func (tr *answerTrial) applyRandomEvent() {
	switch rapid.IntRange(0, 10).Draw(tr.t, "act") {
	case 0, 1:
		tr.submitRandom()
	case 2:
		tr.answer(&tr.questions)
	case 3:
		tr.answer(&tr.answered)
	case 4:
		if len(tr.questions) > 0 {
			tr.questions = tr.questions[1:]
		}
	case 5:
		tr.RemoveWorker(tr.now, tr.randomWorker("gone").ID)
		tr.step()
	case 6:
		tr.HandleAnnouncement(tr.now, tr.randomWorker("back").Worker)
		tr.step()
	case 7:
		tr.takeOver()
	case 8:
		tr.randomWorker("ends").endAll(cell.EndedDone)
	default:
		tr.advance(time.Duration(rapid.IntRange(1, 2000).Draw(tr.t, "length")) * ms)
	}
}

// takeOver starts a new owner from the records of the previous one. Some workers are no
// longer announced, and answers of earlier tenures may be passed on to it.
func (tr *answerTrial) takeOver() {
	tr.answered = append(tr.answered, tr.takeQuestions()...)
	tr.Cell = cell.New(options())
	tr.SetCatalogue(catalogue())
	for range answerWorkers {
		tr.HandleAnnouncement(tr.now, tr.randomWorker("listed").Worker)
	}
	tr.Tick(tr.now, tr.now.Milliseconds())
	for _, id := range slices.Sorted(maps.Keys(tr.jobs)) {
		if p := tr.progress[id]; !p.Closed() {
			tr.Restore(tr.now, tr.now, tr.jobs[id], p)
		}
	}
	tr.step()
}

// After any sequence of lost workers and lost, late or repeated answers, all steps finish
// once workers stay and answers arrive, with advice or without. Some workers never return:
// only jobs that need these may keep waiting, and they must not block others.
func TestAllAdvisedJobsEndAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &answerTrial{world: newWorld(answerWorkers), t: t}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			tr.applyRandomEvent()
		}
		firstStaying := rapid.IntRange(0, answerWorkers-1).Draw(t, "left")
		for n := range answerWorkers {
			if name := fmt.Sprintf("w%d", n); n < firstStaying {
				tr.RemoveWorker(tr.now, name)
			} else {
				tr.HandleAnnouncement(tr.now, tr.workers[name].Worker)
			}
		}
		tr.settle()
		for n := range tr.submitted {
			if id := id(n + 1); tr.states[id] != workload.Done && tr.canRun(id, firstStaying) {
				t.Fatalf("job %d is %s: %+v", n+1, tr.states[id], tr.progress[id])
			}
		}
	})
}

// settle advances the clock by a minute while questions are answered and runs end.
func (tr *answerTrial) settle() {
	for range 120 {
		tr.advance(500 * ms)
		for _, q := range tr.takeQuestions() {
			tr.sendAnswer(q, 0)
		}
		for _, f := range tr.workers {
			f.endAll(cell.EndedDone)
		}
	}
	tr.reportAll()
}

// canRun reports whether the workers with numbers from the given one on can run a job.
func (tr *answerTrial) canRun(id string, from int) bool {
	s, slots := tr.jobs[id].Steps[0], 0
	for n := from; n < answerWorkers; n++ {
		if f := tr.workers[fmt.Sprintf("w%d", n)]; tr.jobs[id].Queue == "Plain" || mayRun(f.ID, id) {
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
