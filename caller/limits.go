package caller

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/settings"
)

// teamLimit bounds the requests of one team's callers at this host.
type teamLimit struct {
	// inFlight counts the requests in flight.
	inFlight    atomic.Int64
	maxInFlight int64
	rate        *rate.Limiter
}

// newTeamLimits returns a limit for each team in the settings.
func newTeamLimits(s settings.Settings) map[string]*teamLimit {
	limits := map[string]*teamLimit{}
	perSecond := s.Limits.RatePerTeam
	for name := range s.Teams {
		limits[name] = &teamLimit{maxInFlight: int64(s.Limits.OpenPerTeam), rate: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
	}
	return limits
}

// acquire admits one request, unless the team has too many in flight or exceeds its
// rate. Each admitted request must call release.
func (l *teamLimit) acquire() bool {
	if l.inFlight.Add(1) > l.maxInFlight || !l.rate.Allow() {
		l.inFlight.Add(-1)
		return false
	}
	return true
}

func (l *teamLimit) release() { l.inFlight.Add(-1) }
