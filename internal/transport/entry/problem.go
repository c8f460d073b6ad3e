package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"comfreyworks"
	"comfreyworks/internal/protocol/completion"
)

// HeaderRun tells a caller whether its call ran.
const HeaderRun = "Comfrey-Run"

// problem is an error as callers see it.
type problem struct {
	status     int
	kind       string
	code       string
	message    string
	run        comfreyworks.RunState
	retryAfter time.Duration
}

const (
	invalidRequest = "invalid_request_error"
	serverError    = "server_error"
)

func problemNotFound(path string) problem {
	return problem{status: http.StatusNotFound, kind: invalidRequest, code: "not_found", message: "nothing is served at " + path, run: comfreyworks.RunStateNotRun}
}

func problemMethod(method, path string) problem {
	return problem{status: http.StatusMethodNotAllowed, kind: invalidRequest, code: "method_not_allowed", message: method + " is not served at " + path, run: comfreyworks.RunStateNotRun}
}

func problemKey(message string) problem {
	return problem{status: http.StatusUnauthorized, kind: "authentication_error", code: "invalid_key", message: message, run: comfreyworks.RunStateNotRun}
}

func problemClass(name comfreyworks.Class, allowed []comfreyworks.Class) problem {
	return problem{
		status: http.StatusBadRequest, kind: invalidRequest, code: "unknown_class", run: comfreyworks.RunStateNotRun,
		message: fmt.Sprintf("%s: found %q, expected one of %v", HeaderClass, name, allowed),
	}
}

func problemModel(name comfreyworks.Model) problem {
	return problem{status: http.StatusNotFound, kind: invalidRequest, code: "unknown_model", message: fmt.Sprintf("model %q is not served", name), run: comfreyworks.RunStateNotRun}
}

func problemPool(name string) problem {
	return problem{status: http.StatusNotFound, kind: invalidRequest, code: "unknown_service", message: fmt.Sprintf("service %q is not routed", name), run: comfreyworks.RunStateNotRun}
}

func problemBody(code, message string) problem {
	return problem{status: http.StatusBadRequest, kind: invalidRequest, code: code, message: message, run: comfreyworks.RunStateNotRun}
}

func problemTooLarge(limit int64) problem {
	return problem{
		status: http.StatusRequestEntityTooLarge, kind: invalidRequest, code: "body_too_large", run: comfreyworks.RunStateNotRun,
		message: fmt.Sprintf("the body is longer than %d bytes", limit),
	}
}

func problemRefused(refusal comfreyworks.Refusal) problem {
	return problem{
		status: http.StatusServiceUnavailable, kind: serverError, code: string(refusal.Reason), run: comfreyworks.RunStateNotRun,
		message: "nothing was run: " + string(refusal.Reason), retryAfter: refusal.RetryAfter,
	}
}

func problemDeadline() problem {
	return problem{status: http.StatusGatewayTimeout, kind: serverError, code: "deadline", message: "the deadline of the request's class passed"}
}

func problemIncomplete() problem {
	return problem{status: http.StatusBadGateway, kind: serverError, code: "incomplete", message: "the answer broke off and could not be continued"}
}

func problemUnknown(detail string) problem {
	return problem{status: http.StatusBadGateway, kind: serverError, code: "run_unknown", message: "the call may or may not have run: " + detail, run: comfreyworks.RunStateUnknown}
}

func problemKeyConflict() problem {
	return problem{status: http.StatusConflict, kind: invalidRequest, code: "key_conflict", message: "the idempotency key was used with another body", run: comfreyworks.RunStateNotRun}
}

func (p problem) body() completion.Problem {
	return completion.Problem{Error: completion.ProblemDetail{Message: p.message, Type: p.kind, Code: p.code}}
}

func writeProblem(w http.ResponseWriter, p problem) {
	if p.run != "" {
		w.Header().Set(HeaderRun, string(p.run))
	}
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	writeJSON(w, p.status, p.body())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
