package breakdown

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"time"
)

// Report is what logs tell. Read makes one.
type Report struct {
	Queues    []Queue
	Takeovers Takeovers
	// Jobs are in the order of their first calls.
	Jobs []Job
	// Happenings are in the order of their ends.
	Happenings []Happening
	Lines      Lines
	Gaps       Gaps
}

// reading is a report in the making.
type reading struct {
	scanner
	tracks    map[string]*track
	takeovers *takeovers
	watch     *watch
	// zones holds the availability zone of each host.
	zones map[string]string
	// recovered holds when each tenure began to decide, by its fence.
	recovered map[int64]time.Time
	// seconds holds those of the clock in which there is a line.
	seconds map[int64]bool
	// unqueued counts the jobs without a queue.
	unqueued int
}

// Read sums up the logs of all hosts. The lines of different hosts may be mixed in any way
// and begin with what a collector of logs adds, such as the second; those of one host must
// be in their order. Lines that are not of a log are passed over. The memory that it takes
// goes with the number of tasks.
func Read(input io.Reader) (Report, error) {
	r := &reading{
		scanner: scanner{input: bufio.NewReaderSize(input, maxLine)},
		tracks:  map[string]*track{}, takeovers: newTakeovers(), watch: newWatch(),
		zones: map[string]string{}, recovered: map[int64]time.Time{}, seconds: map[int64]bool{},
	}
	for {
		l, err := r.next()
		if err == io.EOF {
			return r.report(), nil
		}
		if err != nil {
			return Report{}, err
		}
		r.take(l)
	}
}

func (r *reading) take(l line) {
	r.seconds[l.Time.Unix()] = true
	if l.Message == "front: started" {
		r.zones[l.Host] = l.Zone
	}
	r.watch.take(l)
	if l.Message == "scheduler: recovered" {
		r.recovered[l.Fence] = l.Time
	}
	if gap, ok := r.takeovers.take(l); ok {
		r.watch.span(l, OwnerChanged, "no owner until it had recovered", l.Host, gap)
	}
	if l.Job == "" {
		return
	}
	t := r.tracks[l.Job]
	if t == nil {
		t = newTrack(l.Job)
		r.tracks[l.Job] = t
	}
	t.take(l, r.watch.unheard(l), r.recovered[l.Fence])
}

func (r *reading) report() Report {
	r.begin()
	queues := r.byQueue()
	report := Report{Takeovers: r.takeovers.gaps, Lines: r.lines}
	for _, tracks := range queues {
		gaps := findGaps(tracks)
		sizeUp(tracks)
		judge(tracks)
		report.Gaps = report.Gaps.with(gaps)
		report.Queues = append(report.Queues, newQueue(tracks[0].Queue, tracks))
		for _, t := range tracks {
			report.Jobs = append(report.Jobs, t.Job)
		}
	}
	slices.SortFunc(report.Queues, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(report.Jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Called, b.Called), cmp.Compare(a.ID, b.ID))
	})
	report.Happenings = r.happenings()
	report.Gaps.Unqueued = r.unqueued
	report.Gaps.Silent = silences(r.seconds, r.zero)
	return report
}

// begin lets the logs begin with the second of the first call, unless their collector has
// seconds of its own.
func (r *reading) begin() {
	if r.collected {
		return
	}
	for _, t := range r.tracks {
		if !t.first.IsZero() {
			r.zero = first(r.zero, t.first)
		}
	}
	r.zero = r.zero.Truncate(time.Second)
}

// byQueue finishes the tracks and puts them together by their queues. Jobs whose queue is
// not known have neither a call nor a submission in the logs.
func (r *reading) byQueue() map[string][]*track {
	queues := map[string][]*track{}
	missing := r.lastMissing()
	for _, t := range r.tracks {
		if t.Queue == "" {
			r.unqueued++
			continue
		}
		t.Zone = cmp.Or(t.Zone, r.zones[t.caller])
		t.Called = t.first.Sub(r.zero)
		t.Result = t.settle(missing)
		t.follow()
		queues[t.Queue] = append(queues[t.Queue], t)
	}
	return queues
}

// lastMissing returns when the last of the missing lines was written, or zero if none is
// known to be missing.
func (r *reading) lastMissing() time.Time {
	at := r.lost
	for _, s := range silences(r.seconds, r.zero) {
		at = last(at, r.zero.Add(s.To))
	}
	return at
}

func (r *reading) happenings() []Happening {
	var all []Happening
	for _, s := range r.watch.spans {
		all = append(all, Happening{s.kind, s.what, s.subject, s.from.Sub(r.zero), s.to.Sub(r.zero)})
	}
	slices.SortStableFunc(all, func(a, b Happening) int { return cmp.Compare(a.To, b.To) })
	return all
}
