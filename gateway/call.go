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

// serverCall is one caller's request in progress.
type serverCall struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	// body is held until the request is finished, as another attempt may need it.
	body      []byte
	bodyHold  *bodyHold
	startedAt time.Time
	relay     eventRelay
	response  *response
	// headerSent is set once the header of a response other than a stream was sent.
	headerSent bool
	// memory is what the response occupies.
	memory reservation
	// tried are the connections of all attempts so far.
	tried triedConns
	// withheld are connections that nothing was sent over.
	withheld withheldConns
	observed Observation
}

// run carries out the core's decisions until the request is finished.
func (c *serverCall) run(req requests.Request) {
	defer c.memory.release()
	c.withheld = withheldConns{}
	defer c.withheld.releaseAll(c.server)
	next := c.server.nextDecision(req.ID, requests.Arrived{Request: req})
	for {
		switch d := next.(type) {
		case requests.Wait:
			next = c.await(d)
			c.observed.StartupWait = c.server.now().Sub(c.startedAt)
		case requests.Pause:
			next = c.server.nextDecision(req.ID, c.pause(d))
		case requests.Dispatch:
			next = c.server.nextDecision(req.ID, c.attempt(d))
		case requests.Finish:
			c.observed.Inputs = d.Inputs
			c.releaseBody()
			c.finish(d.Verdict)
			return
		default:
			c.finish(requests.Verdict{Outcome: outcome.Unknown, Code: requests.CodeBroken})
			return
		}
	}
}

// releaseBody gives the memory of the body back.
func (c *serverCall) releaseBody() {
	c.body = nil
	c.bodyHold.release(c.server.now())
}

// attempt sends the request to one worker and returns the event that reports the result.
func (c *serverCall) attempt(d requests.Dispatch) requests.Event {
	startedAt := c.server.now()
	c.memory.release()
	ctx, remove := withStop(c.request.Context(), c.server.stopping.ended)
	defer remove()
	ctx, cancel := context.WithDeadline(ctx, clock.Real(d.Deadline))
	defer cancel()
	x := &exchange{server: c.server, dispatch: d, request: c.request, body: c.body, tried: c.tried, withheld: c.withheld, memory: &c.memory}
	defer c.server.exchanges.remove(x)
	result := c.exchange(ctx, x)
	if x.conn != nil {
		c.tried = append(c.tried, x.conn)
	}
	callerGone := c.request.Context().Err() != nil || c.relay.writeFailed
	_, answered := result.(outcome.Answered)
	expired := !callerGone && !answered && !c.server.now().Before(d.Deadline)
	if expired {
		result = outcome.Interrupted{Reason: "no whole answer before the deadline", AnswerStarted: c.relay.headerSent}
	}
	stopped := !callerGone && !answered && !expired && c.server.hasEnded()
	openFor := time.Duration(0)
	if d.ReportsConnection && x.conn != nil {
		openFor = x.connectedAt.Sub(x.conn.openedAt)
	}
	c.observed.Attempts = append(c.observed.Attempts, Attempt{
		Dispatch: d, Result: result, Duration: c.server.now().Sub(startedAt), Via: x.via, LocalAddress: x.localAddress(),
		Reused: x.reused, Unframed: x.unframed, Skipped: x.skipped, Unidentified: x.unidentified,
		ConnectedAfter: sinceOrZero(x.connectedAt, d.DecidedAt), SentAfter: sinceOrZero(x.sentAt, d.DecidedAt), OpenFor: openFor,
	})
	if expired {
		return requests.Expired{Request: d.Request}
	}
	if stopped {
		return requests.Stopped{Request: d.Request, Result: result}
	}
	return requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, CallerWaiting: !callerGone}
}

// exchange carries out an attempt. One that panics ends with an unknown outcome.
func (c *serverCall) exchange(ctx context.Context, x *exchange) (result outcome.Attempt) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		c.server.observePanic(x.dispatch.Request, v)
		if x.conn != nil {
			_ = x.conn.Close()
		}
		c.response, result = nil, outcome.Interrupted{Reason: "internal error", AnswerStarted: c.relay.headerSent}
	}()
	if x.dispatch.Route.Kind == config.RouteStream {
		c.response, result = x.attemptStream(ctx, &c.relay)
	} else {
		c.response, result = x.attemptPlain(ctx)
	}
	return result
}

// sinceOrZero returns the time from start to t, or 0 if t was not reached.
func sinceOrZero(t, start time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(start)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
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
