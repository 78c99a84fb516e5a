package operator

import (
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/configuration"
)

func (h *handler) drainWorker(w http.ResponseWriter, r *http.Request) {
	id, drained := chi.URLParam(r, "id"), r.Method == http.MethodPut
	if drained && !h.host.KnowsWorker(id) {
		writeJSON(w, http.StatusNotFound, Failure{Code: "UnknownWorker", Reason: fmt.Sprintf("The platform lists no worker %q.", id)})
		return
	}
	h.editConfiguration(w, r, func(c configuration.Configuration) configuration.Configuration { return c.WithDrained(id, drained) })
}

func (h *handler) drainHost(w http.ResponseWriter, r *http.Request) {
	id, drained := chi.URLParam(r, "id"), r.Method == http.MethodPut
	if _, ok := h.settings.Hosts[id]; drained && !ok {
		writeJSON(w, http.StatusNotFound, Failure{Code: "UnknownHost", Reason: fmt.Sprintf("The settings have no entry host %q.", id)})
		return
	}
	h.editConfiguration(w, r, func(c configuration.Configuration) configuration.Configuration { return c.WithDrainedHost(id, drained) })
}
