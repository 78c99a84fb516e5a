package pace

import "time"

const (
	// Full is the share of a task that is not held back, in percent.
	Full = 100
	// pressed is the part of its target from which the tail latency of a service
	// counts as pressed; the figure is rough.
	pressed = 0.85
	// relaxed is the part below which what fills may work more.
	relaxed = 0.6
	// cut is the part of its share that a task keeps when a service is pressed.
	cut = 0.4
	// floor is the share below which a task is stopped altogether, in percent.
	floor = 10
	// raise is by how much a share grows at a time, in percent.
	raise = 10
	// settle is the pause after a change: the figure is of the last half second.
	settle = 700 * time.Millisecond
	// calm is how long services must be relaxed before a share grows.
	calm = 1500 * time.Millisecond
)

// Service is a task that serves on a worker.
type Service struct {
	// Tail is its tail latency, Target the bound of it.
	Tail, Target time.Duration
}

// State is what is known of one worker. It is immutable; the zero value is one where
// all that fills works at its full share.
type State struct {
	// held is by how much the share is below Full, in percent.
	held int
	// changed is when the share was last changed, relaxedSince since when no
	// service is near its target; 0 is never.
	changed, relaxedSince time.Duration
}

// Share returns the share of all that fills, in percent.
func (s State) Share() int { return Full - s.held }

// WithReport returns the state after a report of the services of the worker.
func (s State) WithReport(now time.Duration, services []Service) State {
	worst := 0.0
	for _, each := range services {
		if each.Target > 0 {
			worst = max(worst, float64(each.Tail)/float64(each.Target))
		}
	}
	if worst >= relaxed {
		s.relaxedSince = 0
	} else if s.relaxedSince == 0 {
		s.relaxedSince = now
	}
	switch {
	case s.changed != 0 && now-s.changed < settle:
	case worst >= pressed && s.held < Full:
		s = s.withShare(now, int(cut*float64(s.Share())))
	case s.held > 0 && s.relaxedSince != 0 && now-s.relaxedSince >= calm:
		s = s.withShare(now, min(Full, s.Share()+raise))
	}
	return s
}

func (s State) withShare(now time.Duration, share int) State {
	if share < floor && share < s.Share() {
		share = 0
	}
	s.held, s.changed = Full-share, now
	return s
}
