package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// Codes of answers that an entry host gives by itself.
const (
	CodeBadToken        = "BadToken"
	CodeNoRoute         = "NoRoute"
	CodeBadBody         = "BadBody"
	CodeBodyTooLarge    = "BodyTooLarge"
	CodeBodyTimeout     = "BodyTimeout"
	CodeBadWork         = "BadWork"
	CodeTooManyRequests = "TooManyRequests"
	CodeNoAnswer        = "NoAnswer"
)

// statusCodes maps codes to HTTP where the state alone does not tell.
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

// statusCode maps an answer to HTTP.
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

// write sends an answer. The caller has a limited time to take it.
func (f *handler) write(w http.ResponseWriter, a task.Answer) {
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	select {
	case <-f.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	w.Header().Set("Content-Type", "application/json")
	f.deadline(w).write(f.limits.WriteTimeout)
	w.WriteHeader(statusCode(a))
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(answerOf(a))
}

// unknown returns the answer to a question that was not asked of the owner.
func unknown(k task.Key, code, reason string, retryAfter time.Duration) task.Answer {
	return task.Answer{Team: k.Team, ID: k.ID, State: task.Unknown, Code: code, Reason: reason, RetryAfter: retryAfter}
}
