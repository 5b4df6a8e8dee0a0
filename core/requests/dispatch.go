// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// call is one request in progress.
type call struct {
	req     Request
	arrived time.Time
	route   config.Route
	pool    config.Pool
	account ident.Account
	content crashes.Content
	rank    int
	// attempt counts the attempts, sent those by which the request may have reached a
	// worker.
	attempt int
	sent    int
	// target is the worker of the present attempt, tried are all so far.
	target ident.Target
	tried  []ident.Target
	// life is the worker's at the present attempt; it grows where the worker starts again.
	// sentAt is when the attempt is sent.
	life   uint64
	sentAt time.Time
	// resends counts how often it was sent to the same worker once more; pausing is set while
	// it waits for that, and is at no worker.
	resends int
	pausing bool
	// cacheHolder is the first engine that answered without success; empty for none.
	cacheHolder ident.Target
	// paid is set where the retry budget has already been charged for the next attempt.
	paid bool
	// combined joins the outcomes of the attempts so far.
	combined outcome.Kind
}

// dispatch sends the call to the best worker, or ends it with v where there is none.
func (t *transition) dispatch(c call, v Verdict) {
	if t.isRefused(c) {
		t.finish(c.req.ID, t.crashVerdict(c))
		return
	}
	picked, ok := t.choose(c)
	switch {
	case ok:
	case t.onlyDrained(c):
		v.Code, v.Reason, v.RetryAfter = CodeDrained, "all workers of the service are in drained zones", retryAfterDrained
	case picked.onlyCold && c.attempt == 0:
		v.Code, v.Reason, v.RetryAfter = CodeOverloaded, "all workers of the service are cold, and have what they bear", retryAfterCold
	case t.leastBackoff(c) > 0:
		v = t.backoffVerdict(c, v)
	}
	if !ok || !t.now.Before(c.req.Deadline) {
		v.Outcome = c.combined
		if v.Outcome == outcome.NotRun && v.RetryAfter == 0 {
			v.RetryAfter = retryAfter
		}
		t.finish(c.req.ID, v)
		return
	}
	c.target = picked.worker.ID
	c.tried = append(c.tried[:len(c.tried):len(c.tried)], c.target)
	t.counters.Dispatched++
	picked.kind = FirstAttempt
	if c.attempt > 0 {
		picked.kind = RetryAttempt
	}
	t.send(c, picked)
}

// send begins the call's next attempt, at the worker picked.
func (t *transition) send(c call, picked choice) {
	c.attempt++
	c.life, c.sentAt = picked.worker.life, t.now
	t.addInFlight(picked.worker.ID)
	t.noteColdSend(picked.worker, c.sentAt)
	t.calls = t.calls.With(c.req.ID, c)
	header, stall := c.responseTimeouts()
	t.out = append(t.out, Dispatch{
		Request: c.req.ID, Attempt: c.attempt, Worker: picked.worker.Worker, Route: c.route,
		Account: c.account, Content: c.content, Rank: c.rank, Deadline: c.req.Deadline, Engine: c.pool.Engine,
		CacheFrom: picked.cacheFrom, HeaderTimeout: header, StallTimeout: stall,
		Inputs: t.inputs(picked),
	})
}

// inputs gathers what a decision is made from.
func (t *transition) inputs(picked choice) Inputs {
	in := Inputs{
		TableNumber: t.number, MeanLoad: picked.mean, Position: picked.position, Candidates: picked.candidates,
		Load: t.load(picked.worker, t.now), ConfigAge: neverConfirmed,
	}
	if !t.confirmed.IsZero() {
		in.ConfigAge = t.confirmed.Age(t.now)
	}
	if _, asOf := t.othersLoad(picked.worker); !asOf.IsZero() {
		in.LoadAge = t.now.Sub(asOf)
	}
	in.Kind, in.LastResort = picked.kind, picked.lastResort
	in.DeclinedAgo, in.BackoffLeft = neverDeclined, picked.worker.backoffLeft(t.now)
	if at := picked.worker.declinedAt; !at.IsZero() {
		in.DeclinedAgo = t.now.Sub(at)
	}
	return in
}

// neverConfirmed is the age of a table that was never confirmed, in logs.
const neverConfirmed = -time.Millisecond

// neverDeclined is the age of a worker's last decline where there is none, in logs.
const neverDeclined = -time.Millisecond

// finish ends a request.
func (t *transition) finish(id ident.Request, v Verdict) {
	t.calls = t.calls.Without(id)
	if v.Code != CodeOK {
		t.counters.Refused++
	}
	if v.Outcome == outcome.Unknown {
		t.counters.Unknown++
	}
	t.out = append(t.out, Finish{Request: id, Verdict: v, Inputs: t.inputs(choice{})})
}

// expired ends a request whose time is over.
func (t *transition) expired(id ident.Request) {
	c, ok := t.calls.Get(id)
	if !ok {
		return
	}
	t.endInFlight(c)
	t.finish(id, Verdict{
		Outcome: outcome.Combine(c.combined, outcome.Unknown), Code: CodeDeadline, Reason: "the deadline has passed",
	})
}
