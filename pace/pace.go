package pace

import "time"

const (
	// FullShare is the share of a filler that is not throttled, in percent.
	FullShare = 100
	// pressureRatio is the ratio of a service's tail latency to its target from which the
	// service counts as under pressure; the reported latency is a rough figure.
	pressureRatio = 0.85
	// relaxedRatio is the ratio below which fillers may run at a higher share.
	relaxedRatio = 0.6
	// cutRatio is the factor by which the share is cut when a service is under pressure.
	cutRatio = 0.4
	// minShare is the share, in percent, below which fillers are stopped altogether.
	minShare = 10
	// raiseStep is the step by which the share grows, in percent.
	raiseStep = 10
	// settleInterval is the pause after a change of the share: a report covers the last
	// half second.
	settleInterval = 700 * time.Millisecond
	// relaxedInterval is how long all services must stay below relaxedRatio before the
	// share grows.
	relaxedInterval = 1500 * time.Millisecond
)

// Service is a service's task on a worker.
type Service struct {
	// TailLatency is the task's tail latency, TargetLatency the bound that it should keep;
	// 0 is no bound.
	TailLatency, TargetLatency time.Duration
}

// State is the pacing state of one worker. It is immutable; in its zero value all fillers
// run at their full share.
type State struct {
	// withheld is the difference between FullShare and the share, in percent.
	withheld int
	// lastChange is when the share was last changed, relaxedSince since when all services
	// have been below relaxedRatio; 0 is never.
	lastChange, relaxedSince time.Duration
}

// Share returns the share of all fillers, in percent.
func (s State) Share() int { return FullShare - s.withheld }

// WithReport returns the state after a report on the services of the worker.
func (s State) WithReport(now time.Duration, services []Service) State {
	worst := 0.0
	for _, each := range services {
		if each.TargetLatency > 0 {
			worst = max(worst, float64(each.TailLatency)/float64(each.TargetLatency))
		}
	}
	if worst >= relaxedRatio {
		s.relaxedSince = 0
	} else if s.relaxedSince == 0 {
		s.relaxedSince = now
	}
	switch {
	case s.lastChange != 0 && now-s.lastChange < settleInterval:
	case worst >= pressureRatio && s.withheld < FullShare:
		s = s.withShare(now, int(cutRatio*float64(s.Share())))
	case s.withheld > 0 && s.relaxedSince != 0 && now-s.relaxedSince >= relaxedInterval:
		s = s.withShare(now, min(FullShare, s.Share()+raiseStep))
	}
	return s
}

func (s State) withShare(now time.Duration, share int) State {
	if share < minShare && share < s.Share() {
		share = 0
	}
	s.withheld, s.lastChange = FullShare-share, now
	return s
}
