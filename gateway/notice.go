// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/yardhall/yardhall/common/retryafter"
	"github.com/yardhall/yardhall/core/requests"
)

// parseNotice returns the shutdown and backoff that a worker reports with a response. Status
// 421 comes from another process at the worker's address and yields an empty notice.
func (h Headers) parseNotice(resp *http.Response, now time.Time) requests.Notice {
	n := requests.Notice{Leaving: h.isLeaving(resp.Header)}
	n.Brittle, _ = strconv.Atoi(resp.Header.Get(h.Brittle))
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return requests.Notice{}
	case http.StatusTooManyRequests:
		n.SoftBackoff = retryafter.Of(resp.Header, now)
	case http.StatusServiceUnavailable:
		n.Backoff = retryafter.Of(resp.Header, now)
	}
	return n
}

// isLeaving reports whether the headers of a response state that the worker is shutting down.
func (h Headers) isLeaving(in http.Header) bool {
	value := in.Get(h.Leaving)
	return value != "" && value != "0"
}
