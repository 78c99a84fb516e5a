package operator

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/token"
)

// show returns the configuration that stands or, with the query parameter
// inforce, what this process has applied.
func (b *handler) show(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("inforce") {
		write(w, http.StatusOK, b.host.InForce())
		return
	}
	c, err := b.host.ReadConfiguration(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	write(w, http.StatusOK, c)
}

func (b *handler) apply(w http.ResponseWriter, r *http.Request) {
	c, ok := b.parse(w, r)
	if !ok {
		return
	}
	if b.refusesMove(w, r, func(configuration.Configuration) configuration.Configuration { return c }) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	p, err := b.host.Propose(ctx, c, token.HolderOf(r))
	b.answer(w, r, p, err)
}

func (b *handler) diff(w http.ResponseWriter, r *http.Request) {
	wanted, ok := b.parse(w, r)
	if !ok {
		return
	}
	current, err := b.host.ReadConfiguration(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	differences, err := configuration.Diff(current, wanted)
	if err != nil {
		unavailable(w, err)
		return
	}
	write(w, http.StatusOK, Comparison{Version: current.Version, Differences: differences})
}

// parse reads a configuration out of a request, or answers what is wrong.
func (b *handler) parse(w http.ResponseWriter, r *http.Request) (configuration.Configuration, bool) {
	data, ok := readBody(w, r)
	if !ok {
		return configuration.Configuration{}, false
	}
	c, err := configuration.Parse(data)
	if err == nil {
		err = b.checkNames(c)
	}
	if err != nil {
		write(w, http.StatusBadRequest, Failure{Code: "BadConfiguration", Reason: sentence(err)})
		return configuration.Configuration{}, false
	}
	return c, true
}

// checkNames refuses teams, regions and entry hosts that the settings lack.
func (b *handler) checkNames(c configuration.Configuration) error {
	for name, t := range c.Teams {
		if err := b.checkTeam(name, t); err != nil {
			return err
		}
	}
	for _, name := range c.DrainedHosts {
		if _, ok := b.settings.Hosts[name]; !ok {
			return errors.Errorf("no host %q in the settings", name)
		}
	}
	return nil
}

func (b *handler) checkTeam(name string, t configuration.Team) error {
	if _, ok := b.settings.Teams[name]; !ok {
		return errors.Errorf("no team %q in the settings", name)
	}
	if t.Home != "" && !b.settings.HasRegion(t.Home) {
		return errors.Errorf("no region %q in the settings as the home of team %s", t.Home, name)
	}
	return nil
}
