// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"github.com/yardhall/yardhall/core/outcome"
)

// After an attempt the request is answered, sent to another worker, or given up:
//
//	how it ended              the request goes on where
//	answered                  the answer is a server error and the route is repeatable
//	never sent                fewer than maxConnects connections have failed
//	declined                  attempts and budget allow it; else see resend.go
//	broken                    the route is repeatable, and attempts and budget allow it
//	abandoned                 never
//
// and nowhere where workers end under it (crashes.go).
//
// So a request that must not run twice goes on only where it is proved that no worker ran
// it: it was never sent, or declined. The caller's outcome joins those of all attempts.

// serverError is the lowest status by which a worker says that it failed (RFC 9110, 15.6).
const serverError = 500

// attemptEnded decides what follows an attempt.
func (t *transition) attemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	t.endInFlight(c)
	t.learnHealth(c, ev.Result)
	c.combined = outcome.Combine(c.combined, outcome.Of(ev.Result))
	if !ev.CallerWaiting {
		t.finish(c.req.ID, Verdict{Outcome: c.combined, Code: CodeCallerGone, Reason: "the caller left"})
		return
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		t.answered(c, r)
	case outcome.NeverSent:
		if r.ConnectRefused {
			t.connectionRefused(c.target)
		}
		t.neverSent(c, r)
	case outcome.Declined:
		t.declined(c, r)
	case outcome.Interrupted:
		t.broken(c, r)
	case outcome.Abandoned:
		t.finish(c.req.ID, Verdict{Outcome: c.combined, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

// answered delivers the answer, or tries another worker where this one failed and the
// request may run again.
func (t *transition) answered(c call, r outcome.Answered) {
	c.sent++
	t.answeredAfterAll(c, r)
	v := Verdict{Outcome: outcome.Ran, Code: CodeOK}
	if r.Status >= serverError && c.route.Repeatable() && t.mayRetry(c) {
		t.retry(c.withCacheHolder(), v)
		return
	}
	t.finish(c.req.ID, v)
}

// neverSent tries another worker; nothing has been sent, so no budget is charged.
func (t *transition) neverSent(c call, r outcome.NeverSent) {
	v := Verdict{Outcome: c.combined, Code: CodeNoWorker, Reason: "the worker could not be reached: " + r.Reason}
	if c.connectsUsedUp() {
		v.RetryAfter = retryAfter
		t.finish(c.req.ID, v)
		return
	}
	t.dispatch(c, v)
}

// declined tries another worker or, where none is allowed, the same one again.
func (t *transition) declined(c call, r outcome.Declined) {
	t.counters.Declined++
	if r.Leaving {
		// Another process answers at the address.
		t.processEnded(c.target, c.life)
	} else {
		c.sent++
	}
	v := Verdict{Outcome: c.combined, Code: CodeOverloaded, Reason: "the worker declined: " + r.Reason}
	if t.mayRetry(c) {
		t.retry(c.withCacheHolder(), v)
		return
	}
	if !r.Leaving && t.resend(c) {
		return
	}
	t.finishDeclined(c, v)
}

// finishDeclined ends a call that a worker declined and that goes nowhere else.
func (t *transition) finishDeclined(c call, v Verdict) {
	v.Outcome = c.combined
	if v.Outcome == outcome.NotRun {
		v.RetryAfter = t.retryAfterDecline(c)
	}
	t.finish(c.req.ID, v)
}

// broken tries another worker where the request may run again.
func (t *transition) broken(c call, r outcome.Interrupted) {
	c.sent++
	t.attemptBroke(c, r)
	v := Verdict{Outcome: c.combined, Code: CodeBroken, Reason: "the worker's answer broke off: " + r.Reason}
	if !c.route.Repeatable() || !c.paid && !t.mayRetry(c) {
		t.finish(c.req.ID, v)
		return
	}
	t.retry(c, v)
}
