package operator

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/configuration"
)

func (h *handler) showTeam(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "id")
	if err := h.checkTeam(name, configuration.Team{}); err != nil {
		writeJSON(w, http.StatusNotFound, Failure{Code: "UnknownTeam", Reason: asSentence(err)})
		return
	}
	c, err := h.host.ReadConfiguration(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, c.Teams[name])
}

// patchTeam changes only the fields of a team that are in the request's JSON Merge Patch
// (RFC 7396).
func (h *handler) patchTeam(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "id")
	patch, ok := readBody(w, r)
	if !ok {
		return
	}
	if err := h.checkTeam(name, configuration.Team{}); err != nil {
		writeJSON(w, http.StatusNotFound, Failure{Code: "UnknownTeam", Reason: asSentence(err)})
		return
	}
	changed, err := configuration.Team{}.WithPatch(patch)
	if err == nil {
		err = h.checkTeam(name, changed)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Failure{Code: "BadTeam", Reason: asSentence(err)})
		return
	}
	h.editConfiguration(w, r, func(c configuration.Configuration) configuration.Configuration {
		// Not expected, since the patch has been applied to an empty team above.
		t, err := c.Teams[name].WithPatch(patch)
		if err != nil {
			return c
		}
		return c.WithTeam(name, t)
	})
}

func (h *handler) resetTeam(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "id")
	h.editConfiguration(w, r, func(c configuration.Configuration) configuration.Configuration {
		return c.WithTeam(name, configuration.Team{})
	})
}
