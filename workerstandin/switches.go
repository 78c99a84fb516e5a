package workerstandin

import (
	"encoding/json"
	"net/http"

	"github.com/vanillaquay/vanillaquay/worker"
)

func (a *Agent) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) getAudit(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, a.Audit())
}

func (a *Agent) postRestart(w http.ResponseWriter, _ *http.Request) {
	a.Restart()
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) postEvent(w http.ResponseWriter, r *http.Request) {
	var e worker.Event
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.EmitEvent(e)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return
	}
}
