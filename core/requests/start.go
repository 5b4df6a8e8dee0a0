// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// A request waits at a host that has just started until the host can serve: it lacks the route
// table, a confirmation and workers for about as long as replicas need to elect a leader, and a
// refused caller would find other hosts in the same state. Waiting requests are served in the
// order of rank and deadline. A request that will not be served before its own deadline is
// refused at once, with the likely remaining startup time as Retry-After advice.
//
// Requests do not wait for a host that could serve before and no longer can: its lease outlives
// an election, so without a lease it is partitioned for an unknown time, and callers should use
// another host.
//
// Inputs: when the host started, StartupTimeout, the request's deadline and route, and whether
// the route table, lease and workers are present. In simulations of power losses 2.6 in
// 100 requests were refused without waiting, 0.1 with it.
const (
	// maxWaiting bounds the waiting requests; beyond it, the least urgent is refused. A host with
	// file descriptors for 4,096 connections can hold as many beside its connections to workers.
	maxWaiting = 1024
	// typicalStartFraction is the fraction of StartupTimeout that most starts take: a restarted
	// leader is elected at once, others after one to two election timeouts. A quarter and three
	// quarters served callers no better.
	typicalStartFraction = 0.5
)

// waitingRequest is a request that waits, for this host to start unless the flags say otherwise.
type waitingRequest struct {
	request Request
	arrived time.Time
	// rank is the route's; 0 while the route is unknown.
	rank int
	// deadline is when the request can no longer be served, or waits no longer after a stall.
	deadline time.Time
	// afterStall is set if the request waits after a stall of the process, not for its start.
	afterStall bool
	// isQueued is set once a Wait was decided for the request; it must be the only one.
	isQueued bool
	// awaitsOrigin is set if the request waits, from originSince on, until it is known which version
	// began its stream; originSearched is set once that wait is over.
	awaitsOrigin   bool
	originSearched bool
	originSince    time.Time
}

// WithStartedAt returns the state of a host that started at a time.
func (s State) WithStartedAt(now time.Time) State {
	s.startedAt = now
	return s
}

// WaitingCount returns the number of requests that wait for this host to start.
func (s State) WaitingCount() int { return s.waiting.Len() }

// Starting reports whether the host is within its StartupTimeout.
func (s State) Starting(now time.Time) bool {
	return !s.startedAt.IsZero() && now.Sub(s.startedAt) < s.settings.StartupTimeout
}

// HasHealthyWorkers reports whether a healthy worker is known for every pool in use.
func (s State) HasHealthyWorkers(now time.Time) bool {
	for _, pool := range s.routes.Used() {
		if !s.hasHealthyWorker(pool, now) {
			return false
		}
	}
	return true
}

// hasHealthyWorker reports whether a healthy worker of a pool is known that any request may be sent to.
func (s State) hasHealthyWorker(pool ident.Service, now time.Time) bool {
	versions := s.versionsOfRetries(pool, now)
	for w := range s.workers.Workers(pool) {
		if w.healthy(now) && versions.allow(w) {
			return true
		}
	}
	return false
}

// canServe reports whether the host can decide on a request: its lease is valid, and it knows
// healthy workers for all pools of the route.
func (t *transition) canServe(r Request) bool {
	if !t.LeaseValid(t.now) {
		return false
	}
	route, ok := t.routes.Route(r.Host, r.Path)
	if !ok {
		return true
	}
	for _, s := range route.Shares {
		if s.Weight > 0 && !t.hasHealthyWorker(s.Pool, t.now) {
			return false
		}
	}
	return true
}

// deferUntilStarted queues a request until the host can serve, or refuses it if that would be too
// late. It reports false if the request can be decided now.
func (t *transition) deferUntilStarted(r Request) bool {
	if !t.Starting(t.now) || t.canServe(r) {
		return false
	}
	likely := t.startedAt.Add(time.Duration(typicalStartFraction * float64(t.settings.StartupTimeout)))
	until, rank := t.waitDeadline(r)
	if until.Before(likely) {
		t.refuse(r.ID, CodeNotReady, "this host is starting and will not be ready before the request's deadline", max(retryAfter, likely.Sub(t.now)))
		return true
	}
	t.queue(waitingRequest{request: r, arrived: t.now, rank: rank, deadline: until})
	return true
}

// queue adds a request to those that wait, and refuses the least urgent one if there are too many.
func (t *transition) queue(w waitingRequest) {
	t.counters.Waited++
	t.enqueue(w)
	t.refuseLeastUrgent()
}

// enqueue adds a request to those that wait, and tells its caller to wait unless it does so already.
func (t *transition) enqueue(w waitingRequest) {
	if !w.isQueued {
		w.isQueued = true
		t.out = append(t.out, Wait{Request: w.request.ID})
	}
	t.waiting = t.waiting.With(w.request.ID, w)
}

// waitDeadline returns the time until which a request may wait, and its rank. The time is the end
// of StartupTimeout, the request's deadline or the end of its route's timeout, whichever is
// earliest.
func (t *transition) waitDeadline(r Request) (until time.Time, rank int) {
	until = t.startedAt.Add(t.settings.StartupTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	route, ok := t.routes.Route(r.Host, r.Path)
	if !ok {
		return until, 0
	}
	if limit := t.now.Add(time.Duration(route.Timeout)); limit.Before(until) {
		until = limit
	}
	return until, route.Rank
}

// refuseLeastUrgent refuses the least urgent waiting request if there are too many.
func (t *transition) refuseLeastUrgent() {
	if t.waiting.Len() <= maxWaiting {
		return
	}
	inOrder := t.waitingByUrgency()
	t.refuseWaiting(inOrder[len(inOrder)-1], CodeOverloaded, "too many requests are waiting for this host")
}

// waitingByUrgency returns the waiting requests, the most urgent first.
func (t *transition) waitingByUrgency() []waitingRequest {
	out := t.waiting.Values()
	slices.SortStableFunc(out, func(a, b waitingRequest) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline), cmp.Compare(a.request.ID, b.request.ID))
	})
	return out
}

// processWaiting dispatches the waiting requests that the host can serve now, and refuses those
// that can no longer be served in time.
func (t *transition) processWaiting() {
	if t.waiting.Len() == 0 {
		return
	}
	for _, w := range t.waitingByUrgency() {
		switch {
		case w.awaitsOrigin && t.now.Before(w.deadline):
		case w.awaitsOrigin:
			t.endOriginWait(w)
		case t.resuming(t.now) && !t.closing:
		case t.canServe(w.request) || w.afterStall && !t.closing:
			t.waiting = t.waiting.Without(w.request.ID)
			t.admitAndDispatch(w)
		case t.closing:
			t.refuseWaiting(w, CodeDraining, "this host is being stopped")
		case !t.Starting(t.now) || !t.now.Before(w.deadline):
			t.refuseWaiting(w, CodeNotReady, "this host did not become ready in time after its start")
		}
	}
}

func (t *transition) refuseWaiting(w waitingRequest, code Code, reason string) {
	t.removeUnserved(w)
	t.refuse(w.request.ID, code, reason, retryAfter)
}

// handleWithdrawal ends a waiting request whose caller has left.
func (t *transition) handleWithdrawal(id ident.Request) {
	w, ok := t.waiting.Get(id)
	if !ok {
		return
	}
	t.removeUnserved(w)
	t.refuse(id, CodeCallerGone, "the caller left", 0)
}

// removeUnserved removes a waiting request and counts the time that it waited.
func (t *transition) removeUnserved(w waitingRequest) {
	t.waiting = t.waiting.Without(w.request.ID)
	t.counters.WaitedUnserved += t.now.Sub(w.arrived)
}
