package operator

import (
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/configuration"
)

func (b *handler) drainWorker(w http.ResponseWriter, r *http.Request) {
	id, drained := chi.URLParam(r, "id"), r.Method == http.MethodPut
	if drained && !b.host.KnowsWorker(id) {
		write(w, http.StatusNotFound, Failure{Code: "UnknownWorker", Reason: fmt.Sprintf("The platform lists no worker %q.", id)})
		return
	}
	b.edit(w, r, func(c configuration.Configuration) configuration.Configuration { return c.WithDrained(id, drained) })
}

func (b *handler) drainHost(w http.ResponseWriter, r *http.Request) {
	id, drained := chi.URLParam(r, "id"), r.Method == http.MethodPut
	if _, ok := b.settings.Hosts[id]; drained && !ok {
		write(w, http.StatusNotFound, Failure{Code: "UnknownHost", Reason: fmt.Sprintf("The settings have no entry host %q.", id)})
		return
	}
	b.edit(w, r, func(c configuration.Configuration) configuration.Configuration { return c.WithDrainedHost(id, drained) })
}
