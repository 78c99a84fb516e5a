package workload

import (
	"math"
	"strings"
	"time"
)

// Catalogue is one version of the operator's queues and services.
type Catalogue struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes bounds the body of a call in bytes; 0 is no bound.
	MaxBodyBytes int64
}

// Queue takes jobs that match its host and prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service names the workers that run its tasks.
	Service string
	// Priority 0 goes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int
	// Stretch times the longest chain of work, plus Allowance, is the time in
	// which a job should be done.
	Stretch float64
	// Allowance is the fixed part of a job's objective.
	Allowance time.Duration
	// Timeout bounds a call.
	Timeout time.Duration
	// Advice is nil if any worker of the service may run a step.
	Advice *Advice
}

// Advice is what it takes to learn which workers may run a step.
type Advice struct {
	// BaseDuration and Each are the time of a question and of each worker in it.
	BaseDuration, PerWorkerDuration time.Duration
	// TicketLifetime is how long a ticket holds.
	TicketLifetime time.Duration
}

// QuestionDuration returns how long a question about a number of workers takes.
func (a Advice) QuestionDuration(workers int) time.Duration {
	return a.BaseDuration + time.Duration(workers)*a.PerWorkerDuration
}

// MaxWorkers returns how many workers a question can name in a time beside that which it
// takes at least.
func (a Advice) MaxWorkers(extra time.Duration) int {
	if a.PerWorkerDuration <= 0 {
		return math.MaxInt
	}
	return int(extra / a.PerWorkerDuration)
}

// Service is a pool of workers.
type Service struct {
	Name string
	// AdmissionControl tells that its workers refuse what does not fit.
	AdmissionControl bool
	// Spare tells that its machines are off.
	Spare bool
}

// MatchQueue returns the queue with the longest prefix of path on host.
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

// QueuesByName returns the queues by their names. A catalogue may have some thousands.
func (c Catalogue) QueuesByName() map[string]Queue {
	queues := make(map[string]Queue, len(c.Queues))
	for _, q := range c.Queues {
		queues[q.Name] = q
	}
	return queues
}
