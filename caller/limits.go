package caller

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/settings"
)

// teamLimit bounds what one team's callers ask of this host.
type teamLimit struct {
	// inFlight counts the requests that are open now.
	inFlight    atomic.Int64
	maxInFlight int64
	rate        *rate.Limiter
}

// newTeamLimits returns a limit for each team of the settings.
func newTeamLimits(s settings.Settings) map[string]*teamLimit {
	limits := map[string]*teamLimit{}
	perSecond := s.Limits.RatePerTeam
	for name := range s.Teams {
		limits[name] = &teamLimit{maxInFlight: int64(s.Limits.OpenPerTeam), rate: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
	}
	return limits
}

// acquire takes a place for one request, unless the team has used its share. The
// place must be given back with leave.
func (l *teamLimit) acquire() bool {
	if l.inFlight.Add(1) > l.maxInFlight || !l.rate.Allow() {
		l.inFlight.Add(-1)
		return false
	}
	return true
}

func (l *teamLimit) release() { l.inFlight.Add(-1) }
