package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/proxytest"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// The report of a violation includes the log lines from logsBefore before it, or from the
// first call about its job if that is earlier, until logsAfter after it.
const logsBefore, logsAfter = 10 * time.Second, 2 * time.Second

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Length string
	Begun  time.Time
	// Took is the duration of the run, including the wait for its jobs to end.
	Took string
	// Jobs is the number of submitted jobs; Accepted, Rejected and Cancelled count those with
	// that outcome. A job counts as rejected if each submission of it was rejected.
	Jobs, Accepted, Rejected, Cancelled int
	Calls, Starts                       int
	// Unauthorised counts the calls that were refused for their keys.
	Unauthorised int
	// StoreConnections, WorkerConnections and HostConnections count the connections over the
	// links from hosts to the store, workers and hosts.
	StoreConnections, WorkerConnections, HostConnections int
	// Violation is the first broken rule that was found, or null.
	Violation *Violation
	// Disruptions is the timeline of the faults.
	Disruptions []Disruption
	// Job is the job that the text of the violation names, if any; Runs are its events.
	Job  *Job                     `json:",omitempty"`
	Runs []workerstandin.RunEvent `json:",omitempty"`
	// Logs holds each host's log lines around the time of the violation.
	Logs map[string][]json.RawMessage `json:",omitempty"`
}

// Write writes the report as JSON to a file.
func (r Report) Write(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Annotate(err, "report")
	}
	return errors.Annotate(os.WriteFile(path, content, 0o600), "report")
}

// countJob adds a job to the counts.
func (r *Report) countJob(v *jobSummary) {
	if !v.accepted.IsZero() {
		r.Accepted++
	}
	if v.rejected {
		r.Rejected++
	}
	if !v.cancelled.IsZero() {
		r.Cancelled++
	}
}

// countConnections counts the connections over the links of a cell.
func (r *Report) countConnections(c *cell) {
	r.StoreConnections = acceptedCount(c.storeLinks)
	for i := range c.hosts {
		r.WorkerConnections += acceptedCount(c.workerLinks[i])
		r.HostConnections += acceptedCount(c.hostLinks[i])
	}
}

func acceptedCount(links []*proxytest.Proxy) int {
	n := 0
	for _, link := range links {
		n += link.AcceptedCount()
	}
	return n
}

// addEvidence adds the job, runs and logs that help to trace the violation.
func (r *Report) addEvidence(s *run, o Observations) {
	for i, j := range o.Jobs {
		if strings.Contains(r.Violation.Text, j.ID) {
			r.Job = &o.Jobs[i]
		}
	}
	for _, e := range s.cell.monitor.EventsAfter(0) {
		if r.Job != nil && strings.Contains(e.Task, r.Job.ID) {
			r.Runs = append(r.Runs, e)
		}
	}
	from := r.Violation.At.Add(-logsBefore)
	if r.Job != nil && len(r.Job.Calls) > 0 && r.Job.Calls[0].Begun.Before(from) {
		from = r.Job.Calls[0].Begun
	}
	r.Logs = map[string][]json.RawMessage{}
	for _, h := range s.cell.hosts {
		lines, err := linesBetween(h.logPath, from, r.Violation.At.Add(logsAfter))
		if err != nil {
			logrus.WithError(err).Warn("soak: log not read")
		}
		r.Logs[h.name] = lines
	}
}

// linesBetween returns the log lines between two times. A line that is not JSON, such as
// the stack trace of a panic, is always included.
func linesBetween(path string, from, to time.Time) ([]json.RawMessage, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close()
	var lines []json.RawMessage
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line struct {
			Time time.Time `json:"time"`
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			text, err := json.Marshal(scanner.Text())
			if err != nil {
				return lines, errors.Trace(err)
			}
			lines = append(lines, text)
			continue
		}
		if line.Time.After(from) && line.Time.Before(to) {
			lines = append(lines, append(json.RawMessage(nil), scanner.Bytes()...))
		}
	}
	return lines, errors.Trace(scanner.Err())
}
