package pace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/pace"
)

const ms = time.Millisecond

func tail(t time.Duration) []pace.Service {
	return []pace.Service{{TailLatency: t, TargetLatency: 100 * ms}}
}

// Fillers raise the latency of a service in proportion to their share. The service must not
// exceed its target for 4 s without a break.
func TestLatencyRecoversInTime(t *testing.T) {
	var s pace.State
	over := time.Duration(0)
	for now := 500 * ms; now < 20*time.Second; now += 500 * ms {
		latency := 70*ms + time.Duration(s.Share())*ms
		s = s.WithReport(now, tail(latency))
		if latency > 100*ms {
			over += 500 * ms
		} else {
			over = 0
		}
		qt.Assert(t, over < 4*time.Second, qt.IsTrue, qt.Commentf("at %s", now))
	}
	qt.Assert(t, s.Share() < 40, qt.IsTrue)
}

// A share that was cut grows back to the full one once the services are below their
// targets.
func TestShareRecovers(t *testing.T) {
	var s pace.State
	s = s.WithReport(time.Second, tail(200*ms))
	qt.Assert(t, s.Share(), qt.Equals, 40)
	for now := 2 * time.Second; now < 20*time.Second; now += 500 * ms {
		s = s.WithReport(now, tail(20*ms))
	}
	qt.Assert(t, s.Share(), qt.Equals, pace.FullShare)
}

func TestNoThrottlingWithoutLatencyTarget(t *testing.T) {
	s := pace.State{}.WithReport(time.Second, []pace.Service{{TailLatency: time.Hour}})
	qt.Assert(t, s.Share(), qt.Equals, pace.FullShare)
}
