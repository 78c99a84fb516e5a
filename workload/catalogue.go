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
	// MaxBody bounds the body of a call in bytes; 0 is no bound.
	MaxBody int64
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
	// Attempts is how many runs of a task may fail.
	Attempts int
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
	// Decide and Each are the time of a question and of each worker in it.
	Decide, Each time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Duration returns how long a question about a number of workers takes.
func (a Advice) Duration(workers int) time.Duration { return a.Decide + time.Duration(workers)*a.Each }

// Workers returns how many workers a question can name in a time beside that which it
// takes at least.
func (a Advice) Workers(extra time.Duration) int {
	if a.Each <= 0 {
		return math.MaxInt
	}
	return int(extra / a.Each)
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded tells that its workers refuse what does not fit.
	Guarded bool
	// Spare tells that its machines are off.
	Spare bool
}

// Match returns the queue with the longest prefix of path on host.
func (c Catalogue) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// ByName returns the queues by their names. A catalogue may have some thousands.
func (c Catalogue) ByName() map[string]Queue {
	queues := make(map[string]Queue, len(c.Queues))
	for _, q := range c.Queues {
		queues[q.Name] = q
	}
	return queues
}
