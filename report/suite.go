package report

import (
	"github.com/vanillaquay/vanillaquay/baseline"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Contender is a scheduler that is measured.
type Contender struct {
	Name string
	// Make returns a fresh scheduler for a load.
	Make func(l load.Load) virtual.Scheduler
}

// Names of the contenders.
const (
	CoreName         = "Core"
	FirstFitFIFOName = "FirstFitFIFO"
	BestFitName      = "BestFit"
	RandomOfTwoName  = "RandomOfTwo"
)

// Core is the decision core that the processes run.
func Core() Contender {
	return Contender{CoreName, func(l load.Load) virtual.Scheduler {
		return decision.New(decision.Options{Region: l.Cell.Region})
	}}
}

// Baselines are the schedulers that the core is compared with.
func Baselines() []Contender {
	return []Contender{
		{FirstFitFIFOName, func(load.Load) virtual.Scheduler { return baseline.FirstFitFIFO() }},
		{BestFitName, func(load.Load) virtual.Scheduler { return baseline.BestFit() }},
		{RandomOfTwoName, func(l load.Load) virtual.Scheduler { return baseline.RandomOfTwo(l.Seed) }},
	}
}

// Contenders is the core and the baselines.
func Contenders() []Contender { return append([]Contender{Core()}, Baselines()...) }

// Loads returns every load of both users and of the size to come.
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

// Row is the result of one contender on one load.
type Row struct {
	Load      load.Load
	Contender string
	Result    *virtual.Result
}

// Measure runs every contender on a load.
func Measure(l load.Load, contenders []Contender) []Row {
	rows := make([]Row, len(contenders))
	for i, c := range contenders {
		rows[i] = Row{Load: l, Contender: c.Name, Result: virtual.Run(l, c.Make(l), virtual.Options{})}
	}
	return rows
}
