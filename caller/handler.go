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

// OwnerClient sends a call to the owner of its partition.
type OwnerClient interface {
	Call(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait bool) (task.Answer, error)
}

// Options configures a handler.
type Options struct {
	Settings settings.Settings
	// Region is the region of the entry host, which counts as that of its callers.
	Region string
	Owners OwnerClient
	// Stopping is closed when the host begins to stop. Callers then no longer wait
	// for work that continues without them.
	Stopping <-chan struct{}
	Log      logrus.FieldLogger
}

// handler serves the callers of one entry host.
type handler struct {
	owners   OwnerClient
	region   string
	limits   settings.Limits
	teams    map[string]*teamLimit
	stopping <-chan struct{}
	log      logrus.FieldLogger
}

// Handler returns an HTTP handler that serves callers.
func Handler(o Options) http.Handler {
	h := &handler{
		owners: o.Owners, region: o.Region, limits: o.Settings.Limits,
		teams: newTeamLimits(o.Settings), stopping: o.Stopping, log: o.Log,
	}
	tokens := map[string]string{}
	for name, t := range o.Settings.Teams {
		tokens[name] = t.Token
	}
	r := chi.NewRouter()
	r.NotFound(h.noRoute)
	r.MethodNotAllowed(h.noRoute)
	r.Route("/v1/work", func(r chi.Router) {
		r.Use(token.NewSet(tokens).Require(h.badToken))
		r.Post("/", h.submit)
		r.Get("/{id}", h.status)
		r.Get("/{id}/answer", h.waitForAnswer)
		r.Delete("/{id}", h.cancel)
	})
	return r
}

// badToken answers with state Unknown and no details of the work, since work that was
// submitted earlier with a valid token may have run.
func (h *handler) badToken(w http.ResponseWriter, _ *http.Request) {
	h.writeAnswer(w, unknownAnswer(task.Key{}, CodeBadToken, "The token is missing or belongs to no team.", 0))
}

func (h *handler) noRoute(w http.ResponseWriter, r *http.Request) {
	h.writeAnswer(w, unknownAnswer(task.Key{}, CodeNoRoute, "There is no route "+r.Method+" "+r.URL.Path+".", 0))
}

// submit accepts work. The caller of a request always waits for its final
// answer; other callers do so with the query parameter wait.
func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	team := token.HolderOf(r)
	work, refusal := h.parseSubmission(w, r, team)
	if refusal != nil {
		h.writeAnswer(w, *refusal)
		return
	}
	log := h.log.WithFields(logrus.Fields{"Team": team, "ID": work.ID, "Kind": work.Kind})
	log.Debug("Caller: work has arrived.")
	a := h.withinTeamLimit(team, func() task.Answer { return h.submitAndWait(r, work) }, func() task.Answer {
		return task.UndeliveredAnswer(work.Key(), work.FirstTry, CodeTooManyRequests,
			"The team has too many requests under way.", decision.DefaultRetryAfter)
	})
	log.WithFields(logrus.Fields{"State": a.State, "Code": a.Code}).Debug("Caller: work is answered.")
	h.writeAnswer(w, a)
}

// withinTeamLimit makes a call if the limits of its team allow it.
func (h *handler) withinTeamLimit(team string, call, reject func() task.Answer) task.Answer {
	limit := h.teams[team]
	if !limit.acquire() {
		return reject()
	}
	defer limit.release()
	return call()
}

// submitAndWait submits work and waits for its answer, until shortly before its
// deadline at the latest.
func (h *handler) submitAndWait(r *http.Request, work task.Work) task.Answer {
	wait := r.URL.Query().Has("wait") || work.Kind == task.Request
	ctx := r.Context()
	if !work.Deadline.IsZero() {
		// Overdue work is sent too, since its owner may know the answer to an
		// earlier submission of it.
		left := time.Until(work.Deadline)
		if left <= 0 {
			left = overdueWait
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left-min(answerMargin, left/answerMarginDivisor))
		defer cancel()
		work.Deadline = work.Deadline.Add(-min(placementMargin, left/placementMarginDivisor))
	}
	return h.callOwner(ctx, peer.Submit, work.Key(), work, wait, work.Kind == task.Request)
}

// status returns the current state of work or, with the query parameter wait, the
// final answer.
func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	h.query(w, r, peer.Status, r.URL.Query().Has("wait"))
}

// waitForAnswer returns the final answer.
func (h *handler) waitForAnswer(w http.ResponseWriter, r *http.Request) {
	h.query(w, r, peer.Status, true)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.query(w, r, peer.Cancel, true)
}

func (h *handler) query(w http.ResponseWriter, r *http.Request, verb peer.CallVerb, wait bool) {
	key := task.Key{Team: token.HolderOf(r), ID: chi.URLParam(r, "id")}
	a := h.withinTeamLimit(key.Team, func() task.Answer {
		return h.callOwner(r.Context(), verb, key, task.Work{}, wait, false)
	}, func() task.Answer {
		return unknownAnswer(key, CodeTooManyRequests, "The team has too many requests under way.", decision.DefaultRetryAfter)
	})
	h.log.WithFields(logrus.Fields{"Team": key.Team, "ID": key.ID, "Verb": verb, "State": a.State}).
		Debug("Caller: query answered.")
	h.writeAnswer(w, a)
}
