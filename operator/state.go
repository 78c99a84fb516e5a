package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

func (b *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := b.host.Ready(); err != nil {
		write(w, http.StatusServiceUnavailable, Failure{Code: "NotReady", Reason: sentence(err)})
		return
	}
	write(w, http.StatusOK, Readiness{Ready: true})
}

func (b *handler) dump(w http.ResponseWriter, r *http.Request) {
	limit := DefaultDumpLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		asked, err := strconv.Atoi(text)
		if err != nil || asked < 1 || asked > MaxDumpLimit {
			write(w, http.StatusBadRequest, Failure{Code: "BadLimit", Reason: fmt.Sprintf("The limit must be 1 to %d.", MaxDumpLimit)})
			return
		}
		limit = asked
	}
	b.writeDump(w, r, limit)
}

// writeDump writes a dump within MaxDumpSize, with shorter lists if need be.
func (b *handler) writeDump(w http.ResponseWriter, r *http.Request, limit int) {
	for {
		data, err := json.Marshal(b.host.Dump(r.Context(), limit))
		if err != nil {
			unavailable(w, err)
			return
		}
		if len(data) <= MaxDumpSize || limit == 1 {
			write(w, http.StatusOK, json.RawMessage(data))
			return
		}
		limit = max(1, limit/2)
	}
}

func (b *handler) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_, _ = fmt.Fprintln(w, b.host.Metrics().String())
}
