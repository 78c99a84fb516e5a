package pace

import "time"

const (
	// FullShare is the share of a task that is not held back, in percent.
	FullShare = 100
	// pressureRatio is the part of its target from which the tail latency of a service
	// counts as pressed; the figure is rough.
	pressureRatio = 0.85
	// relaxedRatio is the part below which what fills may work more.
	relaxedRatio = 0.6
	// cutRatio is the part of its share that a task keeps when a service is pressed.
	cutRatio = 0.4
	// minShare is the share below which a task is stopped altogether, in percent.
	minShare = 10
	// raiseStep is by how much a share grows at a time, in percent.
	raiseStep = 10
	// settleInterval is the pause after a change: the figure is of the last half second.
	settleInterval = 700 * time.Millisecond
	// relaxedInterval is how long services must be relaxed before a share grows.
	relaxedInterval = 1500 * time.Millisecond
)

// Service is a task that serves on a worker.
type Service struct {
	// TailLatency is its tail latency, Target the bound of it.
	TailLatency, TargetLatency time.Duration
}

// State is what is known of one worker. It is immutable; the zero value is one where
// all that fills works at its full share.
type State struct {
	// withheld is by how much the share is below Full, in percent.
	withheld int
	// lastChange is when the share was last changed, relaxedSince since when no
	// service is near its target; 0 is never.
	lastChange, relaxedSince time.Duration
}

// Share returns the share of all that fills, in percent.
func (s State) Share() int { return FullShare - s.withheld }

// WithReport returns the state after a report of the services of the worker.
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
