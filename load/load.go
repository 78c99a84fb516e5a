package load

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Class groups work in a report: urgent work of any kind, and other work by
// kind.
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
	// NeverFits is work that is too large for every worker or for the cell.
	NeverFits Class = "NeverFits"
	// Afterwards is work that arrives after the recovery from an overload.
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

// Item is a piece of work in a load.
type Item struct {
	// At is the arrival time, relative to the start of the load.
	At   time.Duration
	Work task.Work
	// RunTime is the true run time of each task with all the resources that it
	// can use; 0 means that the task runs until it is stopped.
	RunTime time.Duration
	// Used is the true use of each task.
	Used task.Size
	// Timeout is how long after the arrival the caller needs the final answer;
	// 0 means no limit.
	Timeout time.Duration
	// CancelAt is when the caller cancels the work; 0 means never.
	CancelAt time.Duration
	// ReportClass is the class under which the work is reported, in place of
	// that of ClassOf; empty for most work.
	ReportClass Class
}

// Class returns the class under which the work is reported.
func (i Item) Class() Class {
	if i.ReportClass != "" {
		return i.ReportClass
	}
	return ClassOf(i.Work)
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// RackLost permanently removes a rack.
	RackLost FaultKind = "RackLost"
	// WorkerFails makes a worker fail every attempt that it starts.
	WorkerFails FaultKind = "WorkerFails"
	// StoreDown makes every call to the platform's table fail.
	StoreDown FaultKind = "StoreDown"
)

// Fault is a failure during a load.
type Fault struct {
	Kind FaultKind
	// At and Until are the start and the end of the fault; RackLost has no end.
	At, Until time.Duration
	// Target is the ID of a rack or worker; empty for StoreDown.
	Target string
}

// Load is the input of a measurement. It is immutable.
type Load struct {
	Name string
	Seed uint64
	Cell Cell
	// Items is in order of arrival.
	Items  []Item
	Faults []Fault
	// Length is the duration in which work arrives.
	Length time.Duration
	// Saturated reports whether work is queued at all times, so that packing
	// depends on the scheduler rather than on the load.
	Saturated bool
}

// Disturbed reports whether the load has work that must not affect other work.
func (l Load) Disturbed() bool { return slices.ContainsFunc(l.Items, Item.isDisturbance) }

// isDisturbance reports whether other work must be served as if this item were
// absent.
func (i Item) isDisturbance() bool { return i.ReportClass == Hammering || i.ReportClass == NeverFits }

// WithoutDisturbance returns a copy without the work for which isDisturbance is
// true.
func (l Load) WithoutDisturbance() Load {
	l.Items = slices.DeleteFunc(slices.Clone(l.Items), Item.isDisturbance)
	return l
}

// WithCell returns a copy that runs on another cell.
func (l Load) WithCell(c Cell) Load {
	l.Cell = c
	return l
}
