package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/token"
)

func (h *handler) editConfiguration(w http.ResponseWriter, r *http.Request, change func(configuration.Configuration) configuration.Configuration) {
	if h.rejectsMove(w, r, change) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	p, err := h.host.Edit(ctx, token.HolderOf(r), change)
	h.writeResult(w, r, p, err)
}

// rejectsMove rejects a change that moves the work of a team to other partitions, unless
// the operator confirms it with the query parameter move: a request ID that the old
// partition remembers would run again in the new one. It reports whether it has answered
// the request.
func (h *handler) rejectsMove(w http.ResponseWriter, r *http.Request, change func(configuration.Configuration) configuration.Configuration) bool {
	if r.URL.Query().Has("move") {
		return false
	}
	current, err := h.host.ReadConfiguration(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return true
	}
	teams := configuration.MovedTeams(current, change(current))
	if len(teams) == 0 {
		return false
	}
	writeJSON(w, http.StatusConflict, Failure{Code: "MovesWork", Reason: "The change of Home or Shards moves the work of " +
		strings.Join(teams, ", ") + " to partitions that know none of its request IDs; say that it is meant once the team has been idle for an hour."})
	return true
}

// writeResult writes the result of a change, once the change is in force at every member
// or the wait has timed out.
func (h *handler) writeResult(w http.ResponseWriter, r *http.Request, p *configuration.Proposal, err error) {
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	if p.State == "Rejected" {
		writeRejection(w, p)
		return
	}
	wait := defaultWait
	if text := r.URL.Query().Get("wait"); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested < 0 || requested > maxWait {
			requested = defaultWait
		}
		wait = requested
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	behind := h.host.AwaitApplied(ctx, p.Accepted.Version)
	if len(behind) == 0 {
		p.MarkApplied()
	}
	writeJSON(w, http.StatusOK, Result{State: p.State, Version: p.Accepted.Version, Behind: behind})
}
