package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/token"
)

func (b *handler) edit(w http.ResponseWriter, r *http.Request, change func(configuration.Configuration) configuration.Configuration) {
	if b.refusesMove(w, r, change) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	p, err := b.host.Edit(ctx, token.HolderOf(r), change)
	b.answer(w, r, p, err)
}

// refusesMove answers a change that moves the work of a team to other partitions,
// unless the operator says with the query parameter move that this is meant: a
// request ID that the old partition remembers would run again in the new one.
func (b *handler) refusesMove(w http.ResponseWriter, r *http.Request, change func(configuration.Configuration) configuration.Configuration) bool {
	if r.URL.Query().Has("move") {
		return false
	}
	current, err := b.host.ReadConfiguration(r.Context())
	if err != nil {
		unavailable(w, err)
		return true
	}
	teams := configuration.Moves(current, change(current))
	if len(teams) == 0 {
		return false
	}
	write(w, http.StatusConflict, Failure{Code: "MovesWork", Reason: "The change of Home or Shards moves the work of " +
		strings.Join(teams, ", ") + " to partitions that know none of its request IDs; say that it is meant once the team has been idle for an hour."})
	return true
}

// answer tells what became of a change, once it is in force at every member or
// the wait is over.
func (b *handler) answer(w http.ResponseWriter, r *http.Request, p *configuration.Proposal, err error) {
	if err != nil {
		unavailable(w, err)
		return
	}
	if p.State == "Rejected" {
		rejected(w, p)
		return
	}
	wait := defaultWait
	if text := r.URL.Query().Get("wait"); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked < 0 || asked > maxWait {
			asked = defaultWait
		}
		wait = asked
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	behind := b.host.AwaitApplied(ctx, p.Accepted.Version)
	if len(behind) == 0 {
		p.Seen()
	}
	write(w, http.StatusOK, Result{State: p.State, Version: p.Accepted.Version, Behind: behind})
}
