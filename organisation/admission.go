package organisation

import (
	"maps"
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// rateDecay is the time constant with which accepted jobs are forgotten in the rate of all
	// jobs. It is of the length of a burst, so that the shares follow a shift in the load.
	rateDecay = 5 * time.Second
	// minRateWindow bounds the time over which the first jobs after a takeover are averaged. With
	// more, weights that are ratios would fill the accounts too slowly then.
	minRateWindow = 500 * time.Millisecond
	// accountDuration is the time in which an empty account fills up. With less, more of the random
	// arrivals of an organisation that sends just its weight exceed its share.
	accountDuration = 5 * time.Second
	// minAccountSize is the least number of jobs that a full account holds. With 1, two jobs of a
	// small organisation that arrive together would exceed its share.
	minAccountSize = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused job may be sent again.
	// Rates are not predictable for longer.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxJobTime bounds the time in which an account fills by one job, so that it can be added.
	maxJobTime = time.Hour
	// roundingError is what an account may lack for a job, because times are rounded.
	roundingError = time.Microsecond
)

// Admission classifies new jobs as within or beyond the share of their organisation. Each has an
// account in jobs, which fills at its weight in jobs a second, or, if the others send more than
// their weights, at as many times its weight: weights may be rates or plain ratios. What it sends
// itself doesn't raise its share. A job that finds less than one job in the account is beyond the
// share.
//
// In the zero value all accounts are full, and all weights are workload.DefaultWeight. Jobs without
// an organisation, which has the name "", are within the share and don't count.
type Admission struct {
	weights     map[string]float64
	totalWeight float64
	accounts    map[string]*account
	// accepted is the decayed number of accepted jobs, of which the first was counted at startedAt.
	accepted  decayedCount
	startedAt time.Duration
}

// decayedCount is a number of jobs that count less the older they are.
type decayedCount struct {
	value     float64
	countedAt time.Duration
}

// at returns the number at a time.
func (d decayedCount) at(now time.Duration) float64 {
	return d.value * math.Exp(-(now-d.countedAt).Seconds()/rateDecay.Seconds())
}

// with returns the number after n more jobs.
func (d decayedCount) with(now time.Duration, n float64) decayedCount {
	return decayedCount{value: max(0, d.at(now)+n), countedAt: now}
}

// account is measured in the time that it takes to fill, so that a change of the rate leaves the
// time unchanged until it is full.
type account struct {
	// fullAt is when the account is full, unless jobs are taken from it before.
	fullAt time.Duration
	// accepted is the decayed number of the organisation's accepted jobs.
	accepted decayedCount
	counts   Counts
}

// Counts are the numbers of jobs of an organisation that were accepted within and beyond its share,
// and refused.
type Counts struct{ Within, Beyond, Refused int64 }

// Minus returns the difference.
func (c Counts) Minus(other Counts) Counts {
	return Counts{Within: c.Within - other.Within, Beyond: c.Beyond - other.Beyond, Refused: c.Refused - other.Refused}
}

// Verdict is the result of Admit.
type Verdict struct {
	// BeyondShare reports whether the job is beyond the share of its organisation.
	BeyondShare bool
	// RetryAfter is the time until the account holds a job again if the job is refused, and 0 if it
	// is accepted.
	RetryAfter time.Duration
}

// Refused reports whether the job is refused.
func (v Verdict) Refused() bool { return v.RetryAfter > 0 }

// SetWeights replaces all weights. One that is negative or no number counts as
// workload.DefaultWeight.
func (a *Admission) SetWeights(organisations []workload.Organisation) {
	a.weights, a.totalWeight = map[string]float64{}, 0
	for _, o := range organisations {
		weight := o.Weight
		if !(weight >= 0) {
			weight = workload.DefaultWeight
		}
		a.weights[o.Name] = weight
		a.totalWeight += weight
	}
}

// Admit classifies a new job of an organisation. A job beyond the share is refused if overloaded is
// set, that is, if the organisation's jobs beyond its share already wait for too long to be useful.
func (a *Admission) Admit(now time.Duration, name string, overloaded bool) Verdict {
	if name == "" {
		return Verdict{}
	}
	if a.accepted.value == 0 {
		a.startedAt = now
	}
	c := a.account(name)
	jobTime := a.jobTime(now, name)
	missing := max(0, c.fullAt-now)
	lacking := missing + jobTime - max(accountDuration, minAccountSize*jobTime)
	v := Verdict{BeyondShare: lacking > roundingError}
	switch {
	case v.BeyondShare && overloaded:
		v.RetryAfter = max(minRetryAfter, min(lacking, maxRetryAfter))
		c.counts.Refused++
		return v
	case v.BeyondShare:
		c.counts.Beyond++
	default:
		c.counts.Within++
		c.fullAt = now + missing + jobTime
	}
	a.accepted, c.accepted = a.accepted.with(now, 1), c.accepted.with(now, 1)
	return v
}

// Preview returns what Admit would return, and changes nothing.
func (a *Admission) Preview(now time.Duration, name string, overloaded bool) Verdict {
	copied := *a
	copied.accounts = maps.Clone(a.accounts)
	if c := a.accounts[name]; c != nil {
		account := *c
		copied.accounts[name] = &account
	}
	return copied.Admit(now, name, overloaded)
}

// Return takes back the acceptance of a job that could not be recorded, whose caller will send it
// again.
func (a *Admission) Return(now time.Duration, name string, beyondShare bool) {
	c := a.accounts[name]
	if c == nil {
		return
	}
	a.accepted, c.accepted = a.accepted.with(now, -1), c.accepted.with(now, -1)
	if !beyondShare {
		c.fullAt -= a.jobTime(now, name)
	}
}

// Counts returns what became of the jobs of an organisation.
func (a *Admission) Counts(name string) Counts {
	if c := a.accounts[name]; c != nil {
		return c.counts
	}
	return Counts{}
}

// rateOfOthers returns the recent rate of the accepted jobs of all other organisations, in jobs a
// second.
func (a *Admission) rateOfOthers(now time.Duration, name string) float64 {
	// The decayed count of a steady rate of 1 since startedAt.
	window := rateDecay.Seconds() * (1 - math.Exp(-(now-a.startedAt).Seconds()/rateDecay.Seconds()))
	return (a.accepted.at(now) - a.account(name).accepted.at(now)) / max(minRateWindow.Seconds(), window)
}

// jobTime returns the time in which an account fills by one job.
func (a *Admission) jobTime(now time.Duration, name string) time.Duration {
	weight, listed := a.weights[name]
	if !listed {
		weight = workload.DefaultWeight
	}
	if weight == 0 {
		return maxJobTime
	}
	rate := weight
	if others := a.totalWeight - weight; others > 0 {
		rate *= max(1, a.rateOfOthers(now, name)/others)
	}
	return time.Duration(min(1/rate, maxJobTime.Seconds()) * float64(time.Second))
}

func (a *Admission) account(name string) *account {
	c := a.accounts[name]
	if c == nil {
		c = &account{}
		if a.accounts == nil {
			a.accounts = map[string]*account{}
		}
		a.accounts[name] = c
	}
	return c
}
