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

// HeaderRun is the response header that tells whether the request ran.
const HeaderRun = "Comfrey-Run"

// apiError is an error response to a caller.
type apiError struct {
	status    int
	errorType string
	code      string
	message   string
	run       comfreyworks.RunState
	// retryAfter is sent as Retry-After; zero means that the header is omitted.
	retryAfter time.Duration
}

// Types of errors that API clients distinguish.
const (
	typeInvalidRequest = "invalid_request_error"
	typeServerError    = "server_error"
)

func notFoundError(path string) apiError {
	return apiError{status: http.StatusNotFound, errorType: typeInvalidRequest, code: "not_found", message: "nothing is served at " + path, run: comfreyworks.RunStateNotRun}
}

func methodNotAllowedError(method, path string) apiError {
	return apiError{status: http.StatusMethodNotAllowed, errorType: typeInvalidRequest, code: "method_not_allowed", message: method + " is not served at " + path, run: comfreyworks.RunStateNotRun}
}

func invalidKeyError(message string) apiError {
	return apiError{status: http.StatusUnauthorized, errorType: "authentication_error", code: "invalid_key", message: message, run: comfreyworks.RunStateNotRun}
}

func unknownClassError(name comfreyworks.Class, allowed []comfreyworks.Class) apiError {
	return apiError{
		status: http.StatusBadRequest, errorType: typeInvalidRequest, code: "unknown_class", run: comfreyworks.RunStateNotRun,
		message: fmt.Sprintf("%s: found %q, expected one of %v", HeaderClass, name, allowed),
	}
}

func unknownModelError(name comfreyworks.Model) apiError {
	return apiError{status: http.StatusNotFound, errorType: typeInvalidRequest, code: "unknown_model", message: fmt.Sprintf("model %q is not served", name), run: comfreyworks.RunStateNotRun}
}

func unknownServiceError(name string) apiError {
	return apiError{status: http.StatusNotFound, errorType: typeInvalidRequest, code: "unknown_service", message: fmt.Sprintf("service %q is not routed", name), run: comfreyworks.RunStateNotRun}
}

func badRequestError(code, message string) apiError {
	return apiError{status: http.StatusBadRequest, errorType: typeInvalidRequest, code: code, message: message, run: comfreyworks.RunStateNotRun}
}

func bodyTooLargeError(limit int64) apiError {
	return apiError{
		status: http.StatusRequestEntityTooLarge, errorType: typeInvalidRequest, code: "body_too_large", run: comfreyworks.RunStateNotRun,
		message: fmt.Sprintf("the body is longer than %d bytes", limit),
	}
}

func refusedError(refusal comfreyworks.Refusal) apiError {
	return apiError{
		status: http.StatusServiceUnavailable, errorType: typeServerError, code: string(refusal.Reason), run: comfreyworks.RunStateNotRun,
		message: "nothing was run: " + string(refusal.Reason), retryAfter: refusal.RetryAfter,
	}
}

func deadlineError() apiError {
	return apiError{status: http.StatusGatewayTimeout, errorType: typeServerError, code: "deadline", message: "the deadline of the request's class passed"}
}

func incompleteError() apiError {
	return apiError{status: http.StatusBadGateway, errorType: typeServerError, code: "incomplete", message: "the answer broke off and could not be continued"}
}

func runUnknownError(detail string) apiError {
	return apiError{status: http.StatusBadGateway, errorType: typeServerError, code: "run_unknown", message: "the call may or may not have run: " + detail, run: comfreyworks.RunStateUnknown}
}

func keyConflictError() apiError {
	return apiError{status: http.StatusConflict, errorType: typeInvalidRequest, code: "key_conflict", message: "the idempotency key was used with another body", run: comfreyworks.RunStateNotRun}
}

func (e apiError) body() completion.ErrorResponse {
	return completion.ErrorResponse{Error: completion.ErrorDetail{Message: e.message, Type: e.errorType, Code: e.code}}
}

func writeError(w http.ResponseWriter, e apiError) {
	if e.run != "" {
		w.Header().Set(HeaderRun, string(e.run))
	}
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	writeJSON(w, e.status, e.body())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
