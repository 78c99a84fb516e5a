package workload

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Catalogue is one version of the operator's queues and services.
type Catalogue struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes limits the body of a call; 0 is no limit.
	MaxBodyBytes int64
	// Organisations share the cell. Set them with WithOrganisations.
	Organisations []Organisation
	// ChecksKeys reports whether a call needs the key of an organisation, unless its queue is
	// public.
	ChecksKeys bool
	// Faults describes, for the log, what of the version could not be read and how it counts.
	Faults []string
	// organisationByKey holds the name of the organisation of each key.
	organisationByKey map[string]string
}

// Queue accepts the jobs whose host and path match its host and prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the name of the service whose workers run the tasks.
	Service string
	// Priority decides between jobs that are equally urgent; 0 goes first.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Stretch is the variable part of a job's objective, as a multiple of its longest chain
	// of steps.
	Stretch float64
	// Allowance is the fixed part of a job's objective, added to the variable one.
	Allowance time.Duration
	// Timeout limits the duration of a call.
	Timeout time.Duration
	// Advice is nil if any worker of the service may run a step.
	Advice *Advice
	// Public reports whether calls need no key.
	Public bool
}

// Advice describes the operator's service that decides which workers may run a step.
type Advice struct {
	// A question takes BaseDuration, and PerWorkerDuration for each worker that it names.
	BaseDuration      time.Duration `cbor:"1,keyasint,omitempty"`
	PerWorkerDuration time.Duration `cbor:"2,keyasint,omitempty"`
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration `cbor:"3,keyasint,omitempty"`
}

// QuestionDuration returns the duration of a question that names a number of workers.
func (a Advice) QuestionDuration(workers int) time.Duration {
	return a.BaseDuration + time.Duration(workers)*a.PerWorkerDuration
}

// MaxWorkers returns how many workers a question can name if it may take the given time in
// addition to BaseDuration.
func (a Advice) MaxWorkers(extra time.Duration) int {
	if a.PerWorkerDuration <= 0 {
		return math.MaxInt
	}
	return int(extra / a.PerWorkerDuration)
}

// Service is a pool of workers.
type Service struct {
	Name string
	// AdmissionControl reports whether its workers refuse tasks that do not fit.
	AdmissionControl bool
	// Spare reports whether its machines are powered off.
	Spare bool
}

// MatchQueue returns the queue of a host with the longest prefix of path.
func (c Catalogue) MatchQueue(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// IsPublic reports whether calls for a queue need no key, and whether there is such a queue.
func (c Catalogue) IsPublic(queue string) (public, exists bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == queue })
	if i < 0 {
		return false, false
	}
	return c.Queues[i].Public, true
}

// QueuesByName returns the queues by name, for look-ups: a catalogue may have thousands of
// queues.
func (c Catalogue) QueuesByName() map[string]Queue {
	queues := make(map[string]Queue, len(c.Queues))
	for _, q := range c.Queues {
		queues[q.Name] = q
	}
	return queues
}
