package decision

import "github.com/vanillaquay/vanillaquay/task"

// class is the priority by which queued work is placed.
type class int

// The classes, most urgent first.
const (
	urgent class = iota
	replacements
	requests
	services
	allAtOnce
	batch
	classCount
)

// class returns the class in which the job queues. A service that ran before
// goes ahead of new ones.
func (j *job) class() class {
	switch {
	case j.work.Urgent:
		return urgent
	case j.work.Kind == task.Service && j.mayHaveStarted:
		return replacements
	default:
		return initialClass(j.work)
	}
}

// initialClass returns the class of work that has not started yet.
func initialClass(w task.Work) class {
	switch {
	case w.Urgent:
		return urgent
	case w.Kind == task.Request:
		return requests
	case w.Kind == task.Service:
		return services
	case w.Kind == task.AllAtOnce:
		return allAtOnce
	default:
		return batch
	}
}
