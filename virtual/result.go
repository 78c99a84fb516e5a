package virtual

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/task"
)

// Result is what a run measured.
type Result struct {
	Load string
	Seed uint64
	// Classes holds every class, also those without work.
	Classes map[load.Class]*ClassResult
	// Decisions is a hash over all actions in order; equal hashes mean equal
	// decisions.
	Decisions uint64
	// Events counts what the scheduler was told, Actions what it asked for.
	Events, Actions int
	// Placements counts the attempts that a rack gave room to.
	Placements int
	// MaxRunning is the most attempts that ran at once.
	MaxRunning int
	// Bytes counts commands, reports and digests as sent; LinkBytes those of
	// them that crossed between regions.
	Bytes, LinkBytes int64
	// Rows counts writes to the store, RowBytes their size.
	Rows     int
	RowBytes int64
	// ProcessorTime is the processor time within the scheduler.
	ProcessorTime time.Duration
	// PerEvent is the time of each event that led to starts or answers, and
	// PerDecision its part for each of them, in nanoseconds.
	PerEvent, PerDecision *hdrhistogram.Histogram
	// Scanned counts the racks and workers that the scheduler looked at to choose
	// from, and LookedPerDecision those of each decision; 0 if it doesn't tell.
	Scanned            int64
	ScannedPerDecision *hdrhistogram.Histogram
	// Offered and Used are resource times within the arrival of the load, in
	// units of Size times seconds.
	Offered, Used Area
	// RunTime and Wasted are run times of tasks: all, and what ended attempts lost
	// because the scheduler took the worker back.
	RunTime, Wasted time.Duration
	// Attempts counts starts, and LostToFailing those on workers that fail
	// everything, both once the first 10 s of the fault have passed.
	Attempts, FailingWorkerStarts int
	// Overcommitted counts starts that exceeded the capacity of a worker; it must
	// be 0.
	Overcommitted int
	// DuplicateStarts counts starts of a task that was running already; it must be 0.
	DuplicateStarts int
	// LastRetry is when the last caller came back who had been refused.
	LastRetry time.Duration
	// LastStart is when the last task started that had not before.
	LastStart time.Duration
	// Jobs holds the all-at-once jobs in order of arrival.
	Jobs []Job
}

// Job is what became of an all-at-once job.
type Job struct {
	// Started is when its last task started; 0 if it never did.
	Arrived, Started, RunTime time.Duration
}

// ClassResult is what a run measured of one class of work.
type ClassResult struct {
	// Waits is the time from arrival to the start of the last task of each
	// piece of work; a start on a worker that fails everything is none. Work that had not started by the end of the run, or
	// that failed without such a start, counts with the time until then.
	Waits Waits
	// DecisionWaits is the time from arrival until a rack was asked to start the last
	// task, which the distance to the worker does not lengthen.
	DecisionWaits Waits
	// Submitted, Started, Refused, Cancelled and Unstarted count pieces of
	// work; Unstarted had neither started nor got a final answer by the end.
	Submitted, Started, Refused, Cancelled, Unstarted int
	// Failed counts final answers that tell of a failure or of an unknown
	// outcome.
	Failed int
	// Refused counts work that was refused for the last time, Refusals every
	// refusal, and Returns the callers who came back after one.
	Refusals, Retries int
	// MaxRefusalTime is the longest time from a submission to its refusal.
	MaxRefusalTime time.Duration
	// WithoutRetryAfter counts refusals that give no time to come back.
	WithoutRetryAfter int
}

// Area is an amount of processors and memory over time.
type Area struct{ Processors, Memory, Accelerators float64 }

// add accumulates a size over a time.
func (a *Area) add(s task.Size, d time.Duration) {
	a.Processors += float64(s.Processors) * d.Seconds()
	a.Memory += float64(s.Memory) * d.Seconds()
	a.Accelerators += float64(s.Accelerators) * d.Seconds()
}

// Packing is the used part of the offered resources, of the resource that is
// used most.
func (r *Result) Packing() float64 {
	share := 0.0
	if r.Offered.Processors > 0 {
		share = r.Used.Processors / r.Offered.Processors
	}
	if r.Offered.Memory > 0 {
		share = max(share, r.Used.Memory/r.Offered.Memory)
	}
	return share
}

// WasteShare is the wasted part of the run time of tasks.
func (r *Result) WasteShare() float64 {
	if r.RunTime == 0 {
		return 0
	}
	return r.Wasted.Seconds() / r.RunTime.Seconds()
}

// PerPlacement divides a count by the number of placements.
func (r *Result) PerPlacement(n int64) float64 {
	return float64(n) / float64(max(r.Placements, 1))
}

// DecisionRate is the number of placements and refusals a second of processor time.
func (r *Result) DecisionRate() float64 {
	n := r.Placements
	for _, c := range r.Classes {
		n += c.Refused
	}
	return float64(n) / r.ProcessorTime.Seconds()
}

// Wait returns a percentile of the waits of a class.
func (r *Result) Wait(c load.Class, percentile float64) time.Duration {
	return r.Classes[c].Waits.Percentile(percentile)
}

// Unstarted counts the work of all classes that had not started by the end.
func (r *Result) Unstarted() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Unstarted
	}
	return n
}

// maxScanned bounds the histogram of what is looked at.
const maxScanned = int64(10_000_000)

func newResult(l load.Load) *Result {
	r := &Result{Load: l.Name, Seed: l.Seed, Classes: map[load.Class]*ClassResult{}}
	r.PerEvent = hdrhistogram.New(1, int64(time.Minute), 3)
	r.ScannedPerDecision = hdrhistogram.New(1, maxScanned, 3)
	r.PerDecision = hdrhistogram.New(1, int64(time.Minute), 3)
	for _, c := range load.Classes() {
		r.Classes[c] = &ClassResult{}
	}
	return r
}
