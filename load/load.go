package load

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Class groups work for a report: urgent work of any kind, then the kinds.
type Class string

// The classes.
const (
	Urgent    Class = "Urgent"
	Request   Class = "Request"
	Service   Class = "Service"
	AllAtOnce Class = "AllAtOnce"
	Batch     Class = "Batch"
)

// Classes of work that is counted apart.
const (
	// Hammering is the work of a team that offers many times its share.
	Hammering Class = "Hammering"
	// NeverFits is work that no worker or cell is large enough for.
	NeverFits Class = "NeverFits"
	// Afterwards is what arrives some time after an overload.
	Afterwards Class = "Afterwards"
)

// Classes lists every class in the order of a report.
func Classes() []Class {
	return []Class{Urgent, Request, Service, AllAtOnce, Batch, Hammering, NeverFits, Afterwards}
}

// ClassOf returns the class of a piece of work.
func ClassOf(w task.Work) Class {
	if w.Urgent {
		return Urgent
	}
	return Class(w.Kind)
}

// Item is one piece of work of a load.
type Item struct {
	// At is when the work arrives, from the begin of the load.
	At   time.Duration
	Work task.Work
	// RunTime is how long each task truly runs with all that it can use; 0
	// runs until it is stopped.
	RunTime time.Duration
	// Used is what each task can truly use.
	Used task.Size
	// Timeout is how long after the arrival the caller needs the final answer;
	// 0 is for ever.
	Timeout time.Duration
	// CancelAt is when the caller cancels the work; 0 is never.
	CancelAt time.Duration
	// ReportClass is the class in which the work is counted in place of its own;
	// empty for most work.
	ReportClass Class
}

// Class returns the class in which the work is counted.
func (i Item) Class() Class {
	if i.ReportClass != "" {
		return i.ReportClass
	}
	return ClassOf(i.Work)
}

// FaultKind names what fails.
type FaultKind string

// The kinds of faults.
const (
	// RackLost takes a rack away for good.
	RackLost FaultKind = "RackLost"
	// WorkerFails makes a worker fail every attempt that it starts.
	WorkerFails FaultKind = "WorkerFails"
	// StoreDown makes the platform's table refuse every call.
	StoreDown FaultKind = "StoreDown"
)

// Fault is something that fails for a time.
type Fault struct {
	Kind FaultKind
	// At and Until bound the fault; RackLost has no end.
	At, Until time.Duration
	// Target is a rack or a worker; StoreDown has none.
	Target string
}

// Load is what a scheduler is measured with. It is immutable.
type Load struct {
	Name string
	Seed uint64
	Cell Cell
	// Items is in order of arrival.
	Items  []Item
	Faults []Fault
	// Length is the time in which work arrives.
	Length time.Duration
	// Saturated tells that work waits at all times, so that packing compares
	// schedulers and not loads.
	Saturated bool
}

// Disturbed reports whether some work disturbs the rest.
func (l Load) Disturbed() bool { return slices.ContainsFunc(l.Items, Item.isDisturbance) }

// isDisturbance reports whether the rest must be served as if the work were not there.
func (i Item) isDisturbance() bool { return i.ReportClass == Hammering || i.ReportClass == NeverFits }

// WithoutDisturbance returns a copy with only the work that does not disturb the
// rest.
func (l Load) WithoutDisturbance() Load {
	l.Items = slices.DeleteFunc(slices.Clone(l.Items), Item.isDisturbance)
	return l
}

// WithCell returns a copy that runs on another cell.
func (l Load) WithCell(c Cell) Load {
	l.Cell = c
	return l
}
