// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"net/http"
	"time"

	"github.com/yardhall/yardhall/common/retryafter"
	"github.com/yardhall/yardhall/core/requests"
)

// notice reads what a worker says of itself with an answer. What another process at its
// address says is not the worker's.
func (h Headers) notice(resp *http.Response, now time.Time) requests.Notice {
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return requests.Notice{}
	case http.StatusTooManyRequests:
		return requests.Notice{Leaving: h.leaving(resp.Header), SoftBackoff: retryafter.Of(resp.Header, now)}
	case http.StatusServiceUnavailable:
		return requests.Notice{Leaving: h.leaving(resp.Header), Backoff: retryafter.Of(resp.Header, now)}
	}
	return requests.Notice{Leaving: h.leaving(resp.Header)}
}

// leaving tells whether an answer says that its worker leaves.
func (h Headers) leaving(in http.Header) bool {
	said := in.Get(h.Leaving)
	return said != "" && said != "0"
}
