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

// Bounds of the listener.
const (
	// writeTimeout is how long a change may be tried.
	writeTimeout = 10 * time.Second
	// defaultWait is how long a change waits to be in force at every member.
	defaultWait = 4 * time.Second
	// maxWait is the longest such wait.
	maxWait = time.Minute
)

// EntryHost is what the process offers to operators.
type EntryHost interface {
	// ReadConfiguration returns the configuration that stands in the table.
	ReadConfiguration(ctx context.Context) (configuration.Configuration, error)
	// InForce returns what this process has applied.
	InForce() configuration.Configuration
	// Propose and Edit change the configuration; see configuration.Register.
	Propose(ctx context.Context, c configuration.Configuration, operator string) (*configuration.Proposal, error)
	Edit(ctx context.Context, operator string, edit func(configuration.Configuration) configuration.Configuration) (*configuration.Proposal, error)
	// AwaitApplied returns once every active member has applied a version, or the
	// context ends, and lists the members that have not.
	AwaitApplied(ctx context.Context, version uint64) []string
	// KnowsWorker reports whether the platform lists a worker.
	KnowsWorker(id string) bool
	// Dump returns the state of the process.
	Dump(ctx context.Context, limit int) Dump
	// Ready returns an error that tells why no caller should be sent here.
	Ready() error
	// Metrics returns the metrics of the process.
	Metrics() expvar.Var
}

// handler serves one entry host's operators.
type handler struct {
	host     EntryHost
	settings settings.Settings
}

// Handler serves operators.
func Handler(s settings.Settings, cell EntryHost) http.Handler {
	tokens := map[string]string{}
	for name, o := range s.Operators {
		tokens[name] = o.Token
	}
	b := &handler{host: cell, settings: s}
	r := chi.NewRouter()
	r.NotFound(noRoute)
	r.MethodNotAllowed(noRoute)
	r.Get("/ready", b.ready)
	r.Group(func(r chi.Router) {
		r.Use(token.NewSet(tokens).Require(badToken))
		r.Get("/v1/configuration", b.show)
		r.Put("/v1/configuration", b.apply)
		r.Post("/v1/configuration/diff", b.diff)
		r.Get("/v1/teams/{id}", b.team)
		r.Patch("/v1/teams/{id}", b.patchTeam)
		r.Delete("/v1/teams/{id}", b.dropTeam)
		r.Put("/v1/workers/{id}/drain", b.drainWorker)
		r.Delete("/v1/workers/{id}/drain", b.drainWorker)
		r.Put("/v1/hosts/{id}/drain", b.drainHost)
		r.Delete("/v1/hosts/{id}/drain", b.drainHost)
		r.Get("/v1/dump", b.dump)
		r.Get("/debug/vars", b.vars)
	})
	return r
}
