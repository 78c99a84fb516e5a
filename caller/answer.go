package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// Codes of answers that an entry host returns by itself.
const (
	CodeBadToken        = "BadToken"
	CodeNoRoute         = "NoRoute"
	CodeBadBody         = "BadBody"
	CodeBodyTooLarge    = "BodyTooLarge"
	CodeBodyTimeout     = "BodyTimeout"
	CodeBadWork         = "BadWork"
	CodeTooManyRequests = "TooManyRequests"
	CodeHostOverloaded  = "HostOverloaded"
	CodeNoAnswer        = "NoAnswer"
)

// statusCodes maps codes to HTTP statuses where the state alone does not determine them.
var statusCodes = map[string]int{
	CodeBadToken:           http.StatusUnauthorized,
	CodeNoRoute:            http.StatusNotFound,
	CodeBadBody:            http.StatusBadRequest,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:        http.StatusRequestTimeout,
	CodeBadWork:            http.StatusBadRequest,
	CodeTooManyRequests:    http.StatusTooManyRequests,
	CodeNoAnswer:           http.StatusGatewayTimeout,
	decision.CodeUnknownID: http.StatusNotFound,
	decision.CodeIDReused:  http.StatusConflict,
	decision.CodeNeverFits: http.StatusUnprocessableEntity,
}

// statusCode returns the HTTP status of an answer.
func statusCode(a task.Answer) int {
	if status, ok := statusCodes[a.Code]; ok {
		return status
	}
	switch {
	case a.State == task.Accepted, a.State == task.Running:
		return http.StatusAccepted
	case a.State == task.NotRun, a.State == task.Unknown && a.RetryAfter > 0:
		return http.StatusServiceUnavailable
	default:
		return http.StatusOK
	}
}

// writeAnswer sends an answer, with a write deadline against slow callers.
func (h *handler) writeAnswer(w http.ResponseWriter, a task.Answer) {
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	select {
	case <-h.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	w.Header().Set("Content-Type", "application/json")
	h.connectionDeadlines(w).setWrite(h.limits.WriteTimeout)
	w.WriteHeader(statusCode(a))
	// The caller may have disconnected.
	_ = json.NewEncoder(w).Encode(encodeAnswer(a))
}

// unknownAnswer returns an answer with state Unknown, for a request that the work's
// owner has not answered.
func unknownAnswer(k task.Key, code, reason string, retryAfter time.Duration) task.Answer {
	return task.Answer{Team: k.Team, ID: k.ID, State: task.Unknown, Code: code, Reason: reason, RetryAfter: retryAfter}
}
