// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// toWaiting hands a decision to the request that waits for it, and tells whether one
// does. The caller holds reducing.
func (l *loop) toWaiting(d requests.Decision) bool {
	var id ident.Request
	switch d := d.(type) {
	case requests.Wait:
		l.waits[d.Request] = make(chan requests.Decision, 1)
		return false
	case requests.Dispatch:
		id = d.Request
	case requests.Pause:
		id = d.Request
	case requests.Finish:
		if d.Verdict.Code == requests.CodeDuplicate {
			// It refuses another request under the id, whose event yielded it.
			return false
		}
		id = d.Request
	}
	ch, ok := l.waits[id]
	if ok {
		ch <- d
	}
	return ok
}

// Await implements gateway.Core.
func (l *loop) Await(ctx context.Context, id ident.Request) requests.Decision {
	l.reducing.Lock()
	ch := l.waits[id]
	l.reducing.Unlock()
	defer func() {
		l.reducing.Lock()
		delete(l.waits, id)
		l.reducing.Unlock()
	}()
	select {
	case d := <-ch:
		return d
	case <-ctx.Done():
		// Either this or an earlier event has decided on the request.
		l.reduce(context.Background(), host.RequestEvent{Event: requests.Withdrawn{Request: id}})
	case <-l.done:
		return nil
	}
	select {
	case d := <-ch:
		return d
	case <-l.done:
		return nil
	}
}

// Decide implements gateway.Core: it runs on the caller's goroutine, as each
// decision concerns the request whose event it is.
func (l *loop) Decide(ev requests.Event) []requests.Decision {
	var decisions []requests.Decision
	for _, e := range l.reduce(context.Background(), host.RequestEvent{Event: ev}) {
		if r, ok := e.(host.RequestDecision); ok {
			decisions = append(decisions, r.Decision)
		}
	}
	return decisions
}

// Heartbeat implements platform.Core: it feeds a worker's heartbeat or deregistration and
// returns the answer, for a worker that leaves once its departure is secured.
func (l *loop) Heartbeat(ev host.Event) host.HeartbeatAnswer {
	var answer host.HeartbeatAnswer
	for _, e := range l.reduce(context.Background(), ev) {
		if a, ok := e.(host.HeartbeatAnswer); ok {
			answer = a
		}
	}
	if answer.Accepted && !l.awaitDeparture(workerOf(ev)) {
		return host.HeartbeatAnswer{}
	}
	return answer
}

// Limits implements gateway.Core.
func (l *loop) Limits() config.Limits { return l.state.Load().Config().Gateway.Limits }

// Draining implements gateway.Core.
func (l *loop) Draining() bool { return l.state.Load().Draining() }

// Rank implements gateway.Core.
func (l *loop) Rank(r requests.Request) int { return l.state.Load().Requests().Rank(r) }
