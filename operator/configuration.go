package operator

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/token"
)

// showConfiguration returns the stored configuration or, with the query parameter
// inforce, the one that this process has applied.
func (h *handler) showConfiguration(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("inforce") {
		writeJSON(w, http.StatusOK, h.host.InForce())
		return
	}
	c, err := h.host.ReadConfiguration(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (h *handler) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	c, ok := h.parseConfiguration(w, r)
	if !ok {
		return
	}
	if h.rejectsMove(w, r, func(configuration.Configuration) configuration.Configuration { return c }) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	p, err := h.host.Propose(ctx, c, token.HolderOf(r))
	h.writeResult(w, r, p, err)
}

func (h *handler) diffConfiguration(w http.ResponseWriter, r *http.Request) {
	wanted, ok := h.parseConfiguration(w, r)
	if !ok {
		return
	}
	current, err := h.host.ReadConfiguration(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	differences, err := configuration.Diff(current, wanted)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Comparison{Version: current.Version, Differences: differences})
}

// parseConfiguration reads a configuration from a request body. On an error it answers
// the request and returns false.
func (h *handler) parseConfiguration(w http.ResponseWriter, r *http.Request) (configuration.Configuration, bool) {
	data, ok := readBody(w, r)
	if !ok {
		return configuration.Configuration{}, false
	}
	c, err := configuration.Parse(data)
	if err == nil {
		err = h.checkNames(c)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Failure{Code: "BadConfiguration", Reason: asSentence(err)})
		return configuration.Configuration{}, false
	}
	return c, true
}

// checkNames rejects teams, regions and entry hosts that are not in the settings.
func (h *handler) checkNames(c configuration.Configuration) error {
	for name, t := range c.Teams {
		if err := h.checkTeam(name, t); err != nil {
			return err
		}
	}
	for _, name := range c.DrainedHosts {
		if _, ok := h.settings.Hosts[name]; !ok {
			return errors.Errorf("no host %q in the settings", name)
		}
	}
	return nil
}

func (h *handler) checkTeam(name string, t configuration.Team) error {
	if _, ok := h.settings.Teams[name]; !ok {
		return errors.Errorf("no team %q in the settings", name)
	}
	if t.Home != "" && !h.settings.HasRegion(t.Home) {
		return errors.Errorf("no region %q in the settings as the home of team %s", t.Home, name)
	}
	return nil
}
