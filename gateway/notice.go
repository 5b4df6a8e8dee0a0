// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/yardhall/yardhall/core/requests"
)

// maxBackoff bounds what one answer may ask for, so that a wrong number does not lose a worker for
// good.
const maxBackoff = time.Hour

// notice reads what a worker says of itself with an answer. What another process at its
// address says is not the worker's.
func (h Headers) notice(resp *http.Response, now time.Time) requests.Notice {
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return requests.Notice{}
	case http.StatusTooManyRequests:
		return requests.Notice{Leaving: h.leaving(resp.Header), Reluctance: retryAfter(resp.Header, now)}
	case http.StatusServiceUnavailable:
		return requests.Notice{Leaving: h.leaving(resp.Header), Backoff: retryAfter(resp.Header, now)}
	}
	return requests.Notice{Leaving: h.leaving(resp.Header)}
}

// leaving tells whether an answer says that its worker leaves.
func (h Headers) leaving(in http.Header) bool {
	said := in.Get(h.Leaving)
	return said != "" && said != "0"
}

// retryAfter reads a Retry-After (RFC 9110, 10.2.3): seconds, of which fractions are taken
// too, or a date; 0 for anything else.
func retryAfter(in http.Header, now time.Time) time.Duration {
	text := in.Get("Retry-After")
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return boundedBackoff(seconds)
	}
	if at, err := http.ParseTime(text); err == nil {
		return boundedBackoff(at.Sub(now).Seconds())
	}
	return 0
}

// boundedBackoff is a time in seconds as a duration; 0 where it is none.
func boundedBackoff(seconds float64) time.Duration {
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}
