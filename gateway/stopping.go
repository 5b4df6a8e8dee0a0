// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// stopping are the steps of a planned stop, in their order: bodies are no longer read, then requests in progress are
// ended with the outcome that is known of them.
type stopping struct {
	refuseBodies, endRequests context.CancelFunc
	bodiesRefused, ended      context.Context //nolint:containedctx // They end with the server, not with a call.
}

func newStopping() stopping {
	var s stopping
	s.bodiesRefused, s.refuseBodies = context.WithCancel(context.Background())
	s.ended, s.endRequests = context.WithCancel(context.Background())
	return s
}

// RefuseBodies refuses the requests whose bodies are being read. The core refuses later ones by their heads.
func (s *Server) RefuseBodies() { s.stopping.refuseBodies() }

// EndRequests ends all requests in progress. The responses state whether they may have run; streams break off.
func (s *Server) EndRequests() { s.stopping.endRequests() }

// hasEnded reports whether EndRequests was called.
func (s *Server) hasEnded() bool { return s.stopping.ended.Err() != nil }

// withStop returns a context that is done once ctx is done or a step of the stop is reached.
func withStop(ctx, step context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	remove := context.AfterFunc(step, cancel)
	return ctx, func() {
		remove()
		cancel()
	}
}

// refuseByHead refuses a request before its body is read if this host is being stopped. It reports whether it did.
func (s *Server) refuseByHead(c *serverCall, req requests.Request) bool {
	if !s.core.Draining() {
		return false
	}
	refusal, ok := s.nextDecision(req.ID, requests.HeadReceived{Request: req}).(requests.Finish)
	if ok {
		c.observed.Request, c.observed.Inputs = req, refusal.Inputs
		c.boundUnreadBody()
		c.finish(refusal.Verdict)
	}
	return ok
}

// await waits for the decision on a request that waits for this host.
func (c *serverCall) await(d requests.Wait) requests.Decision {
	stop := context.AfterFunc(c.server.stopping.ended, func() { c.server.core.Decide(requests.Stopped{Request: d.Request}) })
	defer stop()
	return c.server.core.Await(c.request.Context(), d.Request)
}

// pause waits before a resend, and returns the event that follows.
func (c *serverCall) pause(d requests.Pause) requests.Event {
	ctx, cancel := withStop(c.request.Context(), c.server.stopping.ended)
	defer cancel()
	sleep(ctx, d.For)
	if c.server.hasEnded() {
		return requests.Stopped{Request: d.Request}
	}
	return requests.PauseEnded{Request: d.Request, CallerWaiting: c.request.Context().Err() == nil}
}

// interruptBody ends reads of a request's body once bodies are refused. The function that it returns undoes this, waits
// until the read deadline is no longer changed, and reports whether bodies are refused.
func (s *Server) interruptBody(w http.ResponseWriter) func() bool {
	control, done := http.NewResponseController(w), make(chan struct{})
	stop := context.AfterFunc(s.stopping.bodiesRefused, func() {
		defer close(done)
		_ = control.SetReadDeadline(clock.Real(s.now()))
	})
	return func() bool {
		if stop() {
			return false
		}
		<-done
		return true
	}
}

// errStopping is the error of a body that is not read to its end because this host is being stopped.
var errStopping = errors.New("this host is being stopped")

// stoppingVerdict is the verdict on a request whose body was not read.
func stoppingVerdict() requests.Verdict {
	return requests.Verdict{
		Outcome: outcome.NotRun, Code: requests.CodeDraining, Reason: errStopping.Error(),
		RetryAfter: retryElsewhere, TryOtherHost: true,
	}
}

// retryElsewhere is the Retry-After advice where another host can take the request.
const retryElsewhere = 20 * time.Millisecond
