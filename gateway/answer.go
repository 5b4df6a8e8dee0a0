// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// finish answers the caller.
func (c *serverCall) finish(v requests.Verdict) {
	c.observed.Verdict = v
	c.observed.Duration = c.server.now().Sub(c.begun)
	if !c.relay.first.IsZero() {
		c.observed.TimeToFirstByte = c.relay.first.Sub(c.begun)
	}
	c.observed.MaxEventGap = c.relay.pause
	c.server.observe(c.observed)
	switch {
	case v.Code == requests.CodeOK && c.answer != nil:
		c.deliver(c.answer)
	case v.Code == requests.CodeOK:
		// The stream has been passed on whole.
	case c.relay.begun || v.Code == requests.CodeCallerGone:
		// What was sent must not look complete.
		panic(http.ErrAbortHandler)
	default:
		c.refuse(v)
	}
}

func (c *serverCall) deliver(a *answer) {
	copyHeader(c.writer.Header(), c.server.headers.toCaller(a.header))
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.writer.WriteHeader(a.status)
	_, _ = c.writer.Write(a.body) // The worker has answered; a caller that has left changes nothing.
}

// copyHeader copies a worker's headers; what it did not send is not added.
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

func (c *serverCall) refuse(v requests.Verdict) {
	h := c.writer.Header()
	if v.Elsewhere {
		h.Set("Connection", "close")
	}
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(statusOf(v))
	_, _ = io.WriteString(c.writer, string(v.Code)+": "+v.Reason+"\n")
}

// statusOf maps a verdict to HTTP. 503 promises that the request has not run
// and never will; 502 and 504 promise nothing.
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
