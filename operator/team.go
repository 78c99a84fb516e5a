package operator

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/configuration"
)

func (b *handler) team(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "id")
	if err := b.checkTeam(name, configuration.Team{}); err != nil {
		write(w, http.StatusNotFound, Failure{Code: "UnknownTeam", Reason: sentence(err)})
		return
	}
	c, err := b.host.ReadConfiguration(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	write(w, http.StatusOK, c.Teams[name])
}

// patchTeam changes the fields of a team that a JSON Merge Patch (RFC 7396)
// names and leaves the others as they are.
func (b *handler) patchTeam(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "id")
	patch, ok := readBody(w, r)
	if !ok {
		return
	}
	if err := b.checkTeam(name, configuration.Team{}); err != nil {
		write(w, http.StatusNotFound, Failure{Code: "UnknownTeam", Reason: sentence(err)})
		return
	}
	changed, err := configuration.Team{}.WithPatch(patch)
	if err == nil {
		err = b.checkTeam(name, changed)
	}
	if err != nil {
		write(w, http.StatusBadRequest, Failure{Code: "BadTeam", Reason: sentence(err)})
		return
	}
	b.edit(w, r, func(c configuration.Configuration) configuration.Configuration {
		// The patch was applied before, so it can be again.
		t, err := c.Teams[name].WithPatch(patch)
		if err != nil {
			return c
		}
		return c.WithTeam(name, t)
	})
}

func (b *handler) dropTeam(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "id")
	b.edit(w, r, func(c configuration.Configuration) configuration.Configuration {
		return c.WithTeam(name, configuration.Team{})
	})
}
