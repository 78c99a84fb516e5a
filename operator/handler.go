package operator

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/token"
)

// Timeouts of operators' requests.
const (
	// changeTimeout bounds the time to write a change.
	changeTimeout = 10 * time.Second
	// defaultWait is the default time to wait for a change to be in force at every member.
	defaultWait = 4 * time.Second
	// maxWait is the maximum of that time.
	maxWait = time.Minute
)

// EntryHost is the entry host's interface for operators.
type EntryHost interface {
	// ReadConfiguration returns the configuration stored in the table.
	ReadConfiguration(ctx context.Context) (configuration.Configuration, error)
	// InForce returns the configuration that this process has applied.
	InForce() configuration.Configuration
	// Propose and Edit change the configuration; see configuration.Register.
	Propose(ctx context.Context, c configuration.Configuration, operator string) (*configuration.Proposal, error)
	Edit(ctx context.Context, operator string, edit func(configuration.Configuration) configuration.Configuration) (*configuration.Proposal, error)
	// AwaitApplied waits until every active member has applied a version, or the
	// context ends, and returns the members that have not applied it.
	AwaitApplied(ctx context.Context, version uint64) []string
	// KnowsWorker reports whether the platform lists a worker.
	KnowsWorker(id string) bool
	// Dump returns the state of the process.
	Dump(ctx context.Context, limit int) Dump
	// Ready returns an error that says why callers should not be sent to this process,
	// or nil.
	Ready() error
	// Metrics returns the metrics of the process.
	Metrics() expvar.Var
}

// handler serves the operators of one entry host.
type handler struct {
	host     EntryHost
	settings settings.Settings
}

// Handler returns an HTTP handler that serves operators.
func Handler(s settings.Settings, host EntryHost) http.Handler {
	tokens := map[string]string{}
	for name, o := range s.Operators {
		tokens[name] = o.Token
	}
	h := &handler{host: host, settings: s}
	r := chi.NewRouter()
	r.NotFound(noRoute)
	r.MethodNotAllowed(noRoute)
	r.Get("/ready", h.ready)
	r.Group(func(r chi.Router) {
		r.Use(token.NewSet(tokens).Require(badToken))
		r.Get("/v1/configuration", h.showConfiguration)
		r.Put("/v1/configuration", h.replaceConfiguration)
		r.Post("/v1/configuration/diff", h.diffConfiguration)
		r.Get("/v1/teams/{id}", h.showTeam)
		r.Patch("/v1/teams/{id}", h.patchTeam)
		r.Delete("/v1/teams/{id}", h.resetTeam)
		r.Put("/v1/workers/{id}/drain", h.drainWorker)
		r.Delete("/v1/workers/{id}/drain", h.drainWorker)
		r.Put("/v1/hosts/{id}/drain", h.drainHost)
		r.Delete("/v1/hosts/{id}/drain", h.drainHost)
		r.Get("/v1/dump", h.dump)
		r.Get("/debug/vars", h.metrics)
	})
	return r
}
