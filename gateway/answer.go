// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// finish reports the request to the observer and completes the HTTP response.
func (c *serverCall) finish(v requests.Verdict) {
	c.observed.Verdict = v
	c.observed.Duration = c.server.now().Sub(c.startedAt)
	if !c.relay.firstWrite.IsZero() {
		c.observed.TimeToFirstByte = c.relay.firstWrite.Sub(c.startedAt)
	}
	c.observed.MaxEventGap = c.relay.maxGap
	c.server.observe(c.observed)
	switch {
	case v.Code == requests.CodeOK && c.response != nil:
		c.writeResponse(c.response)
	case v.Code == requests.CodeOK:
		// attemptStream has already written the complete stream.
	case c.relay.headerSent || v.Code == requests.CodeCallerGone:
		// Abort the connection so that a truncated response does not look complete.
		panic(http.ErrAbortHandler)
	default:
		c.writeRefusal(v)
	}
}

func (c *serverCall) writeResponse(a *response) {
	copyHeader(c.writer.Header(), c.server.headers.toCaller(a.header))
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.writer.WriteHeader(a.status)
	c.headerSent = true
	_, _ = c.writer.Write(a.body) // The worker ran the request; a failed write does not change its outcome.
}

// copyHeader copies a worker's headers. It sets those that net/http would otherwise add
// by itself to nil, so that the caller gets only what the worker sent.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}

// writeRefusal writes an error response. If another host can take the request, it also closes the
// connection, so that the caller's retry connects again and may reach another host.
func (c *serverCall) writeRefusal(v requests.Verdict) {
	h := c.writer.Header()
	if v.TryOtherHost {
		h.Set("Connection", "close")
	}
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(statusOf(v))
	c.headerSent = true
	_, _ = io.WriteString(c.writer, string(v.Code)+": "+v.Reason+"\n")
}

// statusOf maps a verdict to an HTTP status. 503 guarantees that the request did not run
// and never will; 502 and 504 guarantee nothing.
func statusOf(v requests.Verdict) int {
	switch {
	case v.Code == requests.CodeNoRoute:
		return http.StatusNotFound
	case v.Code == requests.CodeBadKey:
		return http.StatusUnauthorized
	case v.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	case v.Code == requests.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
