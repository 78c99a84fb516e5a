package operator

import (
	"encoding/json"
	"net/http"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/server"
)

// documentCostRatio is the memory that a document takes until it is answered, as a multiple of its
// size: decoded, compared with the stored one and encoded. Lists of empty names take 6 bytes for
// each byte of text, and twice that while they grow.
const documentCostRatio = 32

// Result is the answer to an accepted change of the configuration.
type Result struct {
	// State is Accepted or InForce, as in the chart Configuration.
	State   chart.State
	Version uint64
	// Behind lists the active members that have not applied the version yet.
	Behind []string `json:",omitempty"`
}

// Comparison is the answer to a request for differences.
type Comparison struct {
	// Version is the version of the stored configuration.
	Version     uint64
	Differences []configuration.Difference
}

// Readiness is the answer of a process that is ready for callers.
type Readiness struct{ Ready bool }

// Failure is the answer to a request that had no effect, or with the code Unknown
// may have had one.
type Failure struct {
	// Code identifies the reason, in Pascal case.
	Code string
	// Reason describes it in a full sentence.
	Reason string
	// Current and Differences are set with the code Conflict only.
	Current     *configuration.Configuration `json:",omitempty"`
	Differences []configuration.Difference   `json:",omitempty"`
}

func writeRejection(w http.ResponseWriter, p *configuration.Proposal) {
	var conflict *configuration.ConflictError
	if errors.As(p.Err, &conflict) {
		writeJSON(w, http.StatusConflict, Failure{Code: "Conflict", Reason: asSentence(conflict),
			Current: &conflict.Current, Differences: conflict.Differences})
		return
	}
	writeJSON(w, http.StatusBadRequest, Failure{Code: "BadConfiguration", Reason: asSentence(p.Err)})
}

func writeUnavailable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	if errors.Is(err, configuration.ErrUnknown) {
		writeJSON(w, http.StatusGatewayTimeout, Failure{Code: "Unknown",
			Reason: "The change may or may not have been accepted; look at the configuration before the next try."})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, Failure{Code: "PlatformUnavailable", Reason: asSentence(err)})
}

func badToken(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusUnauthorized, Failure{Code: "BadToken", Reason: "The token is missing or belongs to no operator."})
}

func noRoute(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusNotFound, Failure{Code: "NoRoute", Reason: "There is no route " + r.Method + " " + r.URL.Path + "."})
}

// readBody reads a body of limited size. On an error it answers the request and returns
// false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if r.ContentLength > configuration.MaxSize {
		writeTooLarge(w)
		return nil, false
	}
	data, err := budget.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxSize))
	if err == nil && !budget.FromContext(r.Context()).Reserve(documentCostRatio*int64(len(data))) {
		err = server.ErrDropped
	}
	var tooLargeError *http.MaxBytesError
	switch {
	case errors.Is(err, server.ErrDropped):
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, Failure{Code: "HostOverloaded", Reason: "The entry host has no memory for the request now."})
	case errors.Is(err, server.ErrTooSlow):
		writeJSON(w, http.StatusRequestTimeout, Failure{Code: "BodyTimeout", Reason: "The body arrived too slowly."})
	case errors.As(err, &tooLargeError):
		writeTooLarge(w)
	case err != nil:
		writeJSON(w, http.StatusBadRequest, Failure{Code: "BadBody", Reason: "The body was cut short."})
	}
	return data, err == nil
}

func writeTooLarge(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeJSON(w, http.StatusRequestEntityTooLarge, Failure{Code: "BodyTooLarge", Reason: "The body is larger than 1 MiB."})
}

// asSentence returns the text of an error as a full sentence.
func asSentence(err error) string {
	text := err.Error()
	first, size := utf8.DecodeRuneInString(text)
	return string(unicode.ToUpper(first)) + strings.TrimSuffix(text[size:], ".") + "."
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
