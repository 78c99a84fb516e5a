package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.host.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Failure{Code: "NotReady", Reason: asSentence(err)})
		return
	}
	writeJSON(w, http.StatusOK, Readiness{Ready: true})
}

func (h *handler) dump(w http.ResponseWriter, r *http.Request) {
	limit := DefaultDumpLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		requested, err := strconv.Atoi(text)
		if err != nil || requested < 1 || requested > MaxDumpLimit {
			writeJSON(w, http.StatusBadRequest, Failure{Code: "BadLimit", Reason: fmt.Sprintf("The limit must be 1 to %d.", MaxDumpLimit)})
			return
		}
		limit = requested
	}
	h.writeDump(w, r, limit)
}

// writeDump writes a dump of at most MaxDumpSize, halving the lists' limit until it fits.
func (h *handler) writeDump(w http.ResponseWriter, r *http.Request, limit int) {
	for {
		data, err := json.Marshal(h.host.Dump(r.Context(), limit))
		if err != nil {
			writeUnavailable(w, err)
			return
		}
		if len(data) <= MaxDumpSize || limit == 1 {
			writeJSON(w, http.StatusOK, json.RawMessage(data))
			return
		}
		limit = max(1, limit/2)
	}
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected.
	_, _ = fmt.Fprintln(w, h.host.Metrics().String())
}
