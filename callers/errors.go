// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// ErrorBody is the JSON body of all error responses. It contains the fields that OpenAI clients
// read.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message   string        `json:"message"`
	Type      string        `json:"type"`
	Code      host.Code     `json:"code"`
	RequestID ident.Request `json:"request_id"`
	Outcome   outcome.Kind  `json:"outcome"`
	// EarlierRequest is the request that claimed the idempotency key first.
	EarlierRequest ident.Request `json:"earlier_request,omitempty"`
}

// Codes of requests that are rejected before they are submitted to the core.
const (
	codeBadRequest host.Code = "invalid_request"
	codeTooLarge   host.Code = "request_too_large"
	codeNoRoute    host.Code = "not_found"
	codeInternal   host.Code = "internal_error"
)

func statusOf(code host.Code) int {
	switch code {
	case host.CodeInvalidAPIKey:
		return http.StatusUnauthorized
	case host.CodeClassNotAllowed:
		return http.StatusForbidden
	case host.CodeModelNotFound, host.CodeServiceNotFound, codeNoRoute:
		return http.StatusNotFound
	case host.CodeLimitExceeded:
		return http.StatusTooManyRequests
	case host.CodeAlreadyRan, host.CodeAlreadyRunning, host.CodeKeyReused:
		return http.StatusConflict
	case host.CodeKeyExpired, host.CodeKeyInvalid, codeBadRequest:
		return http.StatusBadRequest
	case codeTooLarge:
		return http.StatusRequestEntityTooLarge
	case host.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case host.CodeTargetFailed:
		return http.StatusBadGateway
	case codeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func errorBody(id ident.Request, v host.Verdict) ErrorBody {
	d := ErrorDetail{
		Message: v.Reason, Type: errorType(statusOf(v.Code)), Code: v.Code, RequestID: id, Outcome: v.Outcome,
	}
	if v.Claim != nil {
		d.EarlierRequest = v.Claim.Request
	}
	return ErrorBody{Error: d}
}

// writeVerdict writes an error response.
func writeVerdict(w http.ResponseWriter, id ident.Request, v host.Verdict) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(v.Outcome))
	h.Set(HeaderRequestID, string(id))
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(v.RetryAfter.Milliseconds(), 10))
	}
	// Without this header, OpenAI clients decide on retries by the status code.
	h.Set("X-Should-Retry", strconv.FormatBool(v.Outcome == outcome.NotRun && v.RetryAfter > 0))
	w.WriteHeader(statusOf(v.Code))
	return errors.Wrap(json.NewEncoder(w).Encode(errorBody(id, v)), "write error response")
}

// handleError responds to requests that echo rejects, such as those without a route.
func (a *API) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	v := host.Verdict{Outcome: outcome.NotRun, Code: codeInternal, Reason: "the request failed inside the router"}
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code < http.StatusInternalServerError {
		v.Code, v.Reason = codeNoRoute, "there is no such route"
	}
	_ = writeVerdict(c.Response(), a.newRequestID(), v)
}

// newRequestID returns an id that is unique in the fleet.
func (a *API) newRequestID() ident.Request {
	o := a.deps.Options
	return ident.Request(string(o.Host) + "-" + strconv.FormatUint(o.Incarnation, idBase) + "-" +
		strconv.FormatUint(a.seq.Add(1), idBase))
}

const idBase = 36

// clampTimeout bounds a caller's timeout by MaxDuration, which is also the default.
func (a *API) clampTimeout(d time.Duration) time.Duration {
	if limit := a.deps.Options.MaxDuration; limit > 0 && (d <= 0 || d > limit) {
		return limit
	}
	return d
}
