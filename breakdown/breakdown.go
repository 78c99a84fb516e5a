package breakdown

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 64 << 10

// Phase is a part of a job's time.
type Phase string

// The phases, in their order.
const (
	// Acceptance is from the call to its answer.
	Acceptance Phase = "Acceptance"
	// Advice is from the acceptance to the first answer of the advice service.
	Advice Phase = "Advice"
	// Room is from then to the first start.
	Room Phase = "Room"
	// Work is from the first start to the end of the job.
	Work Phase = "Work"
)

// Phases lists the phases in their order.
var Phases = []Phase{Acceptance, Advice, Room, Work}

// Queue is the sum of the jobs of one queue.
type Queue struct {
	Name string
	Jobs int
	// Ended counts the jobs by their final state; those without one are Open.
	Ended map[string]int
	// Runs counts the runs by how they ended.
	Runs map[string]int
	// Times holds a time for each job that has gone through a phase.
	Times map[Phase][]time.Duration
}

// Percentile returns the time of a phase below which a share of the jobs are.
func (q Queue) Percentile(p Phase, share float64) time.Duration {
	return percentile(q.Times[p], share)
}

func percentile(times []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Report is what logs tell.
type Report struct {
	Queues    []Queue
	Takeovers Takeovers
}

// line is what is read of a line of a log.
type line struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	Job     string    `json:"job"`
	Why     string    `json:"why"`
	Verb    string    `json:"verb"`
	Outcome string    `json:"outcome"`
	// AgeMS and MS are how long something took, in milliseconds.
	AgeMS float64 `json:"age_ms"`
	MS    float64 `json:"ms"`
	// Host wrote the line; Owner, Linked and Fence are of a takeover.
	Host   string `json:"host"`
	Owner  string `json:"owner"`
	Linked bool   `json:"linked"`
	Fence  int64  `json:"fence"`
}

// job is what the log tells of one job.
type job struct {
	queue                           string
	submitted, advised, begun, over time.Time
	accepted                        time.Duration
	state                           string
	runs                            map[string]int
}

// Read sums up the logs of all hosts, whose lines may be mixed in any way and begin with
// what a collector of logs adds. Lines that are not of a log are passed over.
func Read(input io.Reader) (Report, error) {
	jobs := map[string]*job{}
	takeovers := newTakeovers()
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var l line
		text := lines.Bytes()
		if json.Unmarshal(text[max(0, bytes.IndexByte(text, '{')):], &l) != nil {
			continue
		}
		takeovers.take(l)
		if l.Job == "" {
			continue
		}
		j := jobs[l.Job]
		if j == nil {
			j = &job{runs: map[string]int{}}
			jobs[l.Job] = j
		}
		j.take(l)
	}
	if err := lines.Err(); err != nil {
		return Report{}, errors.Annotate(err, "log")
	}
	return Report{Queues: sum(jobs), Takeovers: takeovers.gaps}, nil
}

func (j *job) take(l line) {
	switch l.Message {
	case "cell: job submitted":
		j.queue, j.submitted = l.Why, l.Time
	case "intake: call answered":
		if l.Verb == "Submit" && l.Outcome == "Accepted" {
			j.accepted = milliseconds(l.MS)
		}
	case "cell: advice":
		j.advised = first(j.advised, l.Time)
	case "cell: run ended":
		j.begun = first(j.begun, l.Time.Add(-milliseconds(l.AgeMS)))
		j.runs[l.Why]++
	case "cell: job Done", "cell: job Failed", "cell: job Cancelled":
		j.state, j.over = l.Message[len("cell: job "):], l.Time
	}
}

// first returns the earlier of two times, of which the first may be unknown.
func first(known, at time.Time) time.Time {
	if known.IsZero() || at.Before(known) {
		return at
	}
	return known
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func sum(jobs map[string]*job) []Queue {
	queues := map[string]*Queue{}
	for _, j := range jobs {
		if j.queue == "" {
			continue
		}
		q := queues[j.queue]
		if q == nil {
			q = &Queue{Name: j.queue, Ended: map[string]int{}, Runs: map[string]int{}, Times: map[Phase][]time.Duration{}}
			queues[j.queue] = q
		}
		q.add(j)
	}
	sorted := make([]Queue, 0, len(queues))
	for _, q := range queues {
		sorted = append(sorted, *q)
	}
	slices.SortFunc(sorted, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

func (q *Queue) add(j *job) {
	q.Jobs++
	q.Ended[cmp.Or(j.state, "Open")]++
	for how, n := range j.runs {
		q.Runs[how] += n
	}
	q.span(Acceptance, j.submitted, j.submitted.Add(j.accepted))
	ready := j.submitted
	if !j.advised.IsZero() {
		q.span(Advice, j.submitted, j.advised)
		ready = j.advised
	}
	q.span(Room, ready, j.begun)
	q.span(Work, j.begun, j.over)
}

// span adds the time of a phase whose ends are known. The clocks of hosts differ, so
// that a phase may seem to end before it begins.
func (q *Queue) span(p Phase, from, to time.Time) {
	if from.IsZero() || to.IsZero() {
		return
	}
	q.Times[p] = append(q.Times[p], max(0, to.Sub(from)))
}
