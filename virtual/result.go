package virtual

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/task"
)

// Result holds the measurements of a run.
type Result struct {
	Load string
	Seed uint64
	// Classes has an entry for every class, including those without work.
	Classes map[load.Class]*ClassResult
	// Decisions is a hash over all actions in order; equal hashes mean equal
	// decisions.
	Decisions uint64
	// Events counts the events that the scheduler processed, Actions the
	// actions that it returned.
	Events, Actions int
	// Placements counts the attempts for which a rack reserved capacity.
	Placements int
	// MaxRunning is the maximum number of attempts that ran concurrently.
	MaxRunning int
	// Bytes is the encoded size of all commands, reports and digests, LinkBytes
	// that of those sent between regions.
	Bytes, LinkBytes int64
	// Rows counts the rows written to the store, RowBytes is their encoded
	// size.
	Rows     int
	RowBytes int64
	// ProcessorTime is the time spent in the scheduler.
	ProcessorTime time.Duration
	// PerEvent is the time of each event that led to starts or answers, and
	// PerDecision that time divided by the number of starts and answers, in
	// nanoseconds.
	PerEvent, PerDecision *hdrhistogram.Histogram
	// Scanned counts the racks and workers that the scheduler examined as
	// candidates, and ScannedPerDecision those of each decision; 0 if the
	// scheduler does not report it.
	Scanned            int64
	ScannedPerDecision *hdrhistogram.Histogram
	// Offered and Used are amounts of resources over the time in which the load
	// arrives, in units of Size times seconds.
	Offered, Used Area
	// RunTime is the run time of all attempts. Wasted is the run time of
	// attempts that the scheduler stopped before their work was answered, and
	// the time taken by checkpoints; work that its caller cancels is left out.
	RunTime, Wasted time.Duration
	// Attempts counts starts, and FailingWorkerStarts those on failing workers,
	// each from failureDetectionTime after a worker began to fail.
	Attempts, FailingWorkerStarts int
	// Overcommitted counts reservations that exceeded the capacity of a worker;
	// it must be 0.
	Overcommitted int
	// DuplicateStarts counts starts of a task that was already running; it must
	// be 0.
	DuplicateStarts int
	// LastRetry is the time of the last resubmission after a refusal.
	LastRetry time.Duration
	// LastStart is the latest time at which the last unstarted task of a piece
	// of work started.
	LastStart time.Duration
	// Jobs holds the all-at-once jobs in order of arrival.
	Jobs []Job
}

// Job is the outcome of an all-at-once job.
type Job struct {
	// Started is when its last task started; 0 if it never did.
	Arrived, Started, RunTime time.Duration
}

// ClassResult holds the measurements of one class of work.
type ClassResult struct {
	// Waits is the time from arrival to the start of the last task of each
	// piece of work; a start on a worker that fails everything does not count.
	// Work that had not started by the end of the run, or that failed without
	// such a start, counts with the time until the end of the run.
	Waits Waits
	// DecisionWaits is the time from arrival until the scheduler sent the last
	// task to a rack. Unlike Waits, it does not depend on the distance to the
	// worker.
	DecisionWaits Waits
	// Submitted, Started, Refused, Cancelled and Unstarted count pieces of
	// work. Refused work was not submitted again; Unstarted work had neither
	// started nor received a final answer by the end.
	Submitted, Started, Refused, Cancelled, Unstarted int
	// Failed counts final answers that report a failure or an unknown outcome.
	Failed int
	// Refusals counts every refusal, and Retries the resubmissions after one.
	Refusals, Retries int
	// MaxRefusalTime is the longest time from a submission to its refusal.
	MaxRefusalTime time.Duration
	// WithoutRetryAfter counts refusals without a time after which to retry.
	WithoutRetryAfter int
}

// Area is an amount of resources multiplied by time.
type Area struct{ Processors, Memory, Accelerators float64 }

// add adds a size multiplied by a duration.
func (a *Area) add(s task.Size, d time.Duration) {
	a.Processors += float64(s.Processors) * d.Seconds()
	a.Memory += float64(s.Memory) * d.Seconds()
	a.Accelerators += float64(s.Accelerators) * d.Seconds()
}

// Packing returns the used share of the offered processors or memory, whichever
// is larger.
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

// WasteShare returns the wasted share of the run time.
func (r *Result) WasteShare() float64 {
	if r.RunTime == 0 {
		return 0
	}
	return r.Wasted.Seconds() / r.RunTime.Seconds()
}

// PerPlacement returns n divided by the number of placements.
func (r *Result) PerPlacement(n int64) float64 {
	return float64(n) / float64(max(r.Placements, 1))
}

// DecisionRate returns the number of placements and final refusals per second
// of processor time.
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

// Unstarted returns the number of pieces of work of all classes that had
// neither started nor received a final answer by the end.
func (r *Result) Unstarted() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Unstarted
	}
	return n
}

// maxScanned is the upper bound of the histogram ScannedPerDecision.
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
