package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/token"
)

// OwnerClient carries a call to the owner of its partition.
type OwnerClient interface {
	Call(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait bool) (task.Answer, error)
}

// Options is what a handler needs.
type Options struct {
	Settings settings.Settings
	// Region is that of the entry host, and so of its callers.
	Region string
	Owners OwnerClient
	// Stopping is closed when the host begins to stop: callers then no longer
	// wait for work that goes on without them.
	Stopping <-chan struct{}
	Log      logrus.FieldLogger
}

// handler serves one entry host's callers.
type handler struct {
	calls    OwnerClient
	region   string
	limits   settings.Limits
	teams    map[string]*teamLimit
	stopping <-chan struct{}
	log      logrus.FieldLogger
}

// Handler serves callers.
func Handler(o Options) http.Handler {
	f := &handler{
		calls: o.Owners, region: o.Region, limits: o.Settings.Limits,
		teams: newTeamLimits(o.Settings), stopping: o.Stopping, log: o.Log,
	}
	tokens := map[string]string{}
	for name, t := range o.Settings.Teams {
		tokens[name] = t.Token
	}
	r := chi.NewRouter()
	r.NotFound(f.noRoute)
	r.MethodNotAllowed(f.noRoute)
	r.Route("/v1/work", func(r chi.Router) {
		r.Use(token.NewSet(tokens).Require(f.badToken))
		r.Post("/", f.submit)
		r.Get("/{id}", f.status)
		r.Get("/{id}/answer", f.answer)
		r.Delete("/{id}", f.cancel)
	})
	return r
}

// badToken answers a caller who can't be told anything of the work: an earlier
// try with a good token may have run.
func (f *handler) badToken(w http.ResponseWriter, _ *http.Request) {
	f.write(w, unknown(task.Key{}, CodeBadToken, "The token is missing or belongs to no team.", 0))
}

func (f *handler) noRoute(w http.ResponseWriter, r *http.Request) {
	f.write(w, unknown(task.Key{}, CodeNoRoute, "There is no route "+r.Method+" "+r.URL.Path+".", 0))
}

// submit takes work. The caller of a request always waits for its final
// answer; other callers do so with the query parameter wait.
func (f *handler) submit(w http.ResponseWriter, r *http.Request) {
	team := token.HolderOf(r)
	work, refusal := f.parse(w, r, team)
	if refusal != nil {
		f.write(w, *refusal)
		return
	}
	log := f.log.WithFields(logrus.Fields{"Team": team, "ID": work.ID, "Kind": work.Kind})
	log.Debug("Caller: work has arrived.")
	a := f.limited(team, func() task.Answer { return f.carry(r, work) }, func() task.Answer {
		return task.UndeliveredAnswer(work.Key(), work.FirstTry, CodeTooManyRequests,
			"The team has too many requests under way.", decision.DefaultRetryAfter)
	})
	log.WithFields(logrus.Fields{"State": a.State, "Code": a.Code}).Debug("Caller: work is answered.")
	f.write(w, a)
}

// limited carries out a call within the limits of its team.
func (f *handler) limited(team string, call, refuse func() task.Answer) task.Answer {
	limit := f.teams[team]
	if !limit.enter() {
		return refuse()
	}
	defer limit.leave()
	return call()
}

// carry submits work and waits for its answer, at most until its deadline.
func (f *handler) carry(r *http.Request, work task.Work) task.Answer {
	wait := r.URL.Query().Has("wait") || work.Kind == task.Request
	ctx := r.Context()
	if !work.Deadline.IsZero() {
		// The owner of the work may know the answer to an earlier try, also
		// after the deadline.
		left := time.Until(work.Deadline)
		if left <= 0 {
			left = lateWait
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left-min(answerMargin, left/answerShare))
		defer cancel()
		work.Deadline = work.Deadline.Add(-min(placeMargin, left/placeShare))
	}
	return f.wait(ctx, peer.Submit, work.Key(), work, wait, work.Kind == task.Request)
}

// status tells what is known of work, or with the query parameter wait the
// final answer.
func (f *handler) status(w http.ResponseWriter, r *http.Request) {
	f.ask(w, r, peer.Status, r.URL.Query().Has("wait"))
}

// answer waits for the final answer.
func (f *handler) answer(w http.ResponseWriter, r *http.Request) {
	f.ask(w, r, peer.Status, true)
}

func (f *handler) cancel(w http.ResponseWriter, r *http.Request) {
	f.ask(w, r, peer.Cancel, true)
}

func (f *handler) ask(w http.ResponseWriter, r *http.Request, verb peer.CallVerb, wait bool) {
	key := task.Key{Team: token.HolderOf(r), ID: chi.URLParam(r, "id")}
	a := f.limited(key.Team, func() task.Answer {
		return f.wait(r.Context(), verb, key, task.Work{}, wait, false)
	}, func() task.Answer {
		return unknown(key, CodeTooManyRequests, "The team has too many requests under way.", decision.DefaultRetryAfter)
	})
	f.log.WithFields(logrus.Fields{"Team": key.Team, "ID": key.ID, "Verb": verb, "State": a.State}).
		Debug("Caller: a question is answered.")
	f.write(w, a)
}
