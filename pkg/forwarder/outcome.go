package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"

	"catkindyke/pkg/clock"
)

// Outcome tells a caller whether a refused request can have run at a backend server.
type Outcome string

// Outcomes of a refused request.
const (
	// NotRun means that no backend server can have run the request.
	NotRun Outcome = "not_run"
	// MayHaveRun covers every other case.
	MayHaveRun Outcome = "may_have_run"
)

// OutcomeHeader carries the outcome of a refusal.
const OutcomeHeader = "Catkindyke-Outcome"

// Refusal is a response that catkindyke generates itself.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Reason is a stable reason code in snake case.
	Reason string
	// Outcome tells whether the request can have run.
	Outcome Outcome
	// RetryAfter is the time after which a retry may succeed; zero if a retry cannot help.
	RetryAfter clock.Millis
}

type refusalBody struct {
	Error        string  `json:"error"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms"`
}

// Write writes the refusal to the caller.
func (f Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, string(f.Outcome))
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(refusalBody{f.Reason, f.Outcome, int64(f.RetryAfter)})
}
