package breakdown

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"time"
)

// Report is the analysis of the logs of all hosts, as returned by Read.
type Report struct {
	Queues    []Queue
	Takeovers Takeovers
	// Jobs are ordered by the times of their first calls.
	Jobs []Job
	// Incidents are ordered by their ends.
	Incidents []Incident
	Lines     Lines
	Gaps      Gaps
}

// reportBuilder collects the data of a report while the logs are read.
type reportBuilder struct {
	scanner
	jobs            map[string]*jobTrack
	takeovers       *takeoverTracker
	incidentTracker *incidentTracker
	// zones maps each host to its availability zone.
	zones map[string]string
	// recoveries maps the fencing token of each tenure to the time at which its owner had
	// recovered.
	recoveries map[int64]time.Time
	// seconds holds the Unix seconds in which at least one line was written.
	seconds map[int64]bool
	// jobsWithoutQueue counts the jobs whose queue is not in the logs.
	jobsWithoutQueue int
}

// Read analyses the logs of all hosts. Lines of different hosts may be interleaved in any
// order and may have a prefix added by a log collector, such as the second; the lines of
// one host must be in order. Lines that are not log lines are skipped. Memory use is
// proportional to the number of tasks.
func Read(input io.Reader) (Report, error) {
	r := &reportBuilder{
		scanner: scanner{input: bufio.NewReaderSize(input, maxLineLength)},
		jobs:    map[string]*jobTrack{}, takeovers: newTakeoverTracker(), incidentTracker: newIncidentTracker(),
		zones: map[string]string{}, recoveries: map[int64]time.Time{}, seconds: map[int64]bool{},
	}
	for {
		l, err := r.next()
		if err == io.EOF {
			return r.report(), nil
		}
		if err != nil {
			return Report{}, err
		}
		r.addLine(l)
	}
}

func (r *reportBuilder) addLine(l line) {
	r.seconds[l.Time.Unix()] = true
	if l.Message == "front: started" {
		r.zones[l.Host] = l.Zone
	}
	r.incidentTracker.addLine(l)
	if l.Message == "scheduler: recovered" {
		r.recoveries[l.Fence] = l.Time
	}
	if gap, ok := r.takeovers.addLine(l); ok {
		r.incidentTracker.addInterval(l, OwnerChanged, "no owner until it had recovered", l.Host, gap)
	}
	if l.Job == "" {
		return
	}
	t := r.jobs[l.Job]
	if t == nil {
		t = newJobTrack(l.Job)
		r.jobs[l.Job] = t
	}
	t.addLine(l, r.incidentTracker.silenceBefore(l), r.recoveries[l.Fence])
}

func (r *reportBuilder) report() Report {
	r.setDefaultOrigin()
	queues := r.byQueue()
	report := Report{Takeovers: r.takeovers.gaps, Lines: r.counts}
	for _, tracks := range queues {
		gaps := findGaps(tracks)
		assignSizes(tracks)
		classifyMissed(tracks)
		report.Gaps = report.Gaps.plus(gaps)
		report.Queues = append(report.Queues, newQueue(tracks[0].Queue, tracks))
		for _, t := range tracks {
			report.Jobs = append(report.Jobs, t.Job)
		}
	}
	slices.SortFunc(report.Queues, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(report.Jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Called, b.Called), cmp.Compare(a.ID, b.ID))
	})
	report.Incidents = r.incidents()
	report.Gaps.WithoutQueue = r.jobsWithoutQueue
	report.Gaps.Silences = findSilences(r.seconds, r.origin)
	return report
}

// setDefaultOrigin sets the origin to the second of the first line or call, whichever is
// earlier, unless the collector's prefix has defined it.
func (r *reportBuilder) setDefaultOrigin() {
	if r.hasCollectorTime {
		return
	}
	for _, t := range r.jobs {
		if !t.firstSeen.IsZero() {
			r.origin = earlier(r.origin, t.firstSeen)
		}
	}
	r.origin = r.origin.Truncate(time.Second)
}

// byQueue completes the jobs and groups them by queue. It skips jobs whose queue is
// unknown: the logs have neither a call nor a submission of them.
func (r *reportBuilder) byQueue() map[string][]*jobTrack {
	queues := map[string][]*jobTrack{}
	missing := r.lastMissing()
	for _, t := range r.jobs {
		if t.Queue == "" {
			r.jobsWithoutQueue++
			continue
		}
		t.Zone = cmp.Or(t.Zone, r.zones[t.callHost])
		t.Called = t.firstSeen.Sub(r.origin)
		t.Result = t.findResult(missing)
		t.computeTimes()
		queues[t.Queue] = append(queues[t.Queue], t)
	}
	return queues
}

// lastMissing returns the time of the last line that is known to be missing, or zero if
// there is none.
func (r *reportBuilder) lastMissing() time.Time {
	at := r.lastLost
	for _, s := range findSilences(r.seconds, r.origin) {
		at = later(at, r.origin.Add(s.To))
	}
	return at
}

func (r *reportBuilder) incidents() []Incident {
	var all []Incident
	for _, s := range r.incidentTracker.incidents {
		all = append(all, Incident{s.kind, s.what, s.subject, s.from.Sub(r.origin), s.to.Sub(r.origin)})
	}
	slices.SortStableFunc(all, func(a, b Incident) int { return cmp.Compare(a.To, b.To) })
	return all
}
