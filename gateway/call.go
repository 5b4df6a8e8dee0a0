// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// serverCall is one request in progress.
type serverCall struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	body     []byte
	begun    time.Time
	relay    relay
	answer   *answer
	observed Observation
}

// run follows the core's decisions to the end of the request.
func (c *serverCall) run(req requests.Request) {
	next := c.server.nextDecision(requests.Arrived{Request: req})
	for {
		switch d := next.(type) {
		case requests.Wait:
			next = c.server.core.Await(c.request.Context(), d.Request)
			c.observed.StartupWait = c.server.now().Sub(c.begun)
		case requests.Pause:
			pauseFor(c.request.Context(), d.For)
			next = c.server.nextDecision(requests.PauseEnded{Request: d.Request, CallerWaiting: c.request.Context().Err() == nil})
		case requests.Dispatch:
			next = c.server.nextDecision(c.try(d))
		case requests.Finish:
			c.observed.Inputs = d.Inputs
			c.finish(d.Verdict)
			return
		default:
			c.finish(requests.Verdict{Outcome: outcome.Unknown, Code: requests.CodeBroken})
			return
		}
	}
}

// try makes one try and reports how it ended.
func (c *serverCall) try(d requests.Dispatch) requests.Event {
	started := c.server.now()
	ctx, cancel := context.WithDeadline(c.request.Context(), clock.Real(d.Deadline))
	defer cancel()
	x := &exchange{server: c.server, dispatch: d, request: c.request, body: c.body}
	defer c.server.running.end(x)
	var result outcome.Attempt
	if d.Route.Kind == config.RouteStream {
		c.answer, result = x.stream(ctx, &c.relay)
	} else {
		c.answer, result = x.plain(ctx)
	}
	gone := c.request.Context().Err() != nil || c.relay.failed
	_, answered := result.(outcome.Answered)
	late := !gone && !answered && !c.server.now().Before(d.Deadline)
	if late {
		result = outcome.Interrupted{Reason: "no whole answer before the deadline", AnswerStarted: c.relay.begun}
	}
	c.observed.Attempts = append(c.observed.Attempts, Attempt{Dispatch: d, Result: result, Duration: c.server.now().Sub(started)})
	if late {
		return requests.Expired{Request: d.Request}
	}
	return requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, CallerWaiting: !gone}
}

// pauseFor waits for a while, or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
