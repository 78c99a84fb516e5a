package report

import (
	"github.com/vanillaquay/vanillaquay/baseline"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Scheduler is a named scheduler to be measured.
type Scheduler struct {
	Name string
	// New returns a new scheduler for a load.
	New func(l load.Load) virtual.Scheduler
}

// Names of the schedulers.
const (
	CoreName         = "Core"
	FirstFitFIFOName = "FirstFitFIFO"
	BestFitName      = "BestFit"
	RandomOfTwoName  = "RandomOfTwo"
)

// Core returns the decision core, which the processes run.
func Core() Scheduler {
	return Scheduler{CoreName, func(l load.Load) virtual.Scheduler {
		return decision.New(decision.Options{Region: l.Cell.Region})
	}}
}

// Baselines returns the schedulers that the core is compared with.
func Baselines() []Scheduler {
	return []Scheduler{
		{FirstFitFIFOName, func(load.Load) virtual.Scheduler { return baseline.FirstFitFIFO() }},
		{BestFitName, func(load.Load) virtual.Scheduler { return baseline.BestFit() }},
		{RandomOfTwoName, func(l load.Load) virtual.Scheduler { return baseline.RandomOfTwo(l.Seed) }},
	}
}

// Schedulers returns the core and the baselines.
func Schedulers() []Scheduler { return append([]Scheduler{Core()}, Baselines()...) }

// Loads returns all loads of both users and the load at the projected scale.
func Loads(seed uint64) []load.Load {
	var loads []load.Load
	for _, c := range []load.Cell{load.TrinacriaCell(), load.AsociacionCell()} {
		loads = append(loads,
			load.Plain(c, seed), load.Peak(c, seed), load.Backlog(c, seed), load.WrongSizes(c, seed),
			load.Halves(c, seed), load.LostRack(c, seed), load.LostRackAtPeak(c, seed), load.Cancellations(c, seed),
			load.FailingWorkers(c, seed), load.StoreOutage(c, seed), load.Twice(c, seed), load.Surge(c, seed),
			load.Hammer(c, seed), load.NeverRuns(c, seed))
	}
	return append(loads, load.ProjectedScale(1, seed))
}

// Row is the result of one scheduler on one load.
type Row struct {
	Load      load.Load
	Scheduler string
	Result    *virtual.Result
}

// Measure runs a load against each scheduler.
func Measure(l load.Load, schedulers []Scheduler) []Row {
	rows := make([]Row, len(schedulers))
	for i, c := range schedulers {
		rows[i] = Row{Load: l, Scheduler: c.Name, Result: virtual.Run(l, c.New(l), virtual.Options{})}
	}
	return rows
}
