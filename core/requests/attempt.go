// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"github.com/yardhall/yardhall/core/outcome"
)

// After an attempt the request is answered, sent to another worker, or ended:
//
//	how the attempt ended     the request is sent to another worker if
//	answered                  the answer is a server error and the route is repeatable
//	withheld                  always (withhold.go)
//	never sent                fewer than maxConnectFailures connections have failed
//	declined                  attempts and retry budget allow it; else see resend.go. After a
//	                          rollout's new version declined, the retry budget alone decides
//	interrupted               the route is repeatable, and attempts and retry budget allow it
//	abandoned                 never
//
// Requests that crash workers are sent to no worker (crashes.go).
//
// Invariant: a request that must run at most once is sent again only if it is proved that no
// worker ran it, as it was never sent or was declined. The outcome reported to the caller
// combines those of all attempts.

// serverError is the lowest status of a server error (RFC 9110, 15.6).
const serverError = 500

// clientError is the lowest status of an error.
const clientError = 400

// handleAttemptEnded records the result of an attempt and decides what follows.
func (t *transition) handleAttemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	t.removeInFlight(c)
	t.updateHealth(c, ev.Result)
	t.recordAnswerEvidence(c, ev)
	t.keepUnproved(&c)
	c.combinedOutcome = outcome.Combine(c.combinedOutcome, outcome.Of(ev.Result))
	if !ev.CallerWaiting {
		t.finish(c.req.ID, Verdict{Outcome: c.combinedOutcome, Code: CodeCallerGone, Reason: "the caller left"})
		return
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		t.afterAnswer(c, r)
	case outcome.NeverSent:
		if r.Withheld {
			t.afterWithheld(c)
			return
		}
		if r.NoPath {
			t.afterNoPath(c, r)
			return
		}
		if r.ConnectRefused {
			t.recordConnectionRefused(c.target, !c.path.Direct)
		}
		t.afterConnectFailure(c, r)
	case outcome.Declined:
		t.afterDecline(c, r)
	case outcome.Interrupted:
		t.afterInterruption(c, r)
	case outcome.Abandoned:
		t.finish(c.req.ID, Verdict{Outcome: c.combinedOutcome, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

// afterAnswer delivers the answer, or retries a server error if the request is repeatable.
func (t *transition) afterAnswer(c call, r outcome.Answered) {
	c.reachedWorkers++
	t.recordAnswer(c, r)
	v := Verdict{Outcome: outcome.Ran, Code: CodeOK}
	if r.Status >= serverError && c.route.Repeatable() && t.mayRetry(c) {
		t.retry(c.withCacheSource(), v)
		return
	}
	t.finish(c.req.ID, v)
}

// afterConnectFailure tries another worker. Nothing was sent, so the retry budget is not charged.
func (t *transition) afterConnectFailure(c call, r outcome.NeverSent) {
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeNoWorker, Reason: "the worker could not be reached: " + r.Reason}
	if c.connectFailuresExceeded() {
		v.RetryAfter = retryAfter
		t.finish(c.req.ID, v)
		return
	}
	t.dispatch(c, v)
}

// afterDecline tries another worker or, if none is allowed, resends to the same one.
func (t *transition) afterDecline(c call, r outcome.Declined) {
	t.counters.Declined++
	if r.Leaving {
		// Another process declined at the worker's address, so the worker's process has ended.
		t.recordProcessEnd(c.target, c.incarnation)
	} else {
		c.reachedWorkers++
	}
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeOverloaded, Reason: "the worker declined: " + r.Reason}
	if t.mayRetryDeclined(c) {
		t.retry(c.withCacheSource(), v)
		return
	}
	if !r.Leaving && t.pauseForResend(c) {
		return
	}
	t.finishDeclined(c, v)
}

// finishDeclined ends a call that a worker declined and that is not sent again.
func (t *transition) finishDeclined(c call, v Verdict) {
	v.Outcome = c.combinedOutcome
	if v.Outcome == outcome.NotRun {
		v.RetryAfter = t.retryAfterDecline(c)
	}
	t.finish(c.req.ID, v)
}

// afterInterruption tries another worker if the request is repeatable. A retry that was charged
// when the attempt's header timed out needs no further budget.
func (t *transition) afterInterruption(c call, r outcome.Interrupted) {
	c.reachedWorkers++
	t.suspectCrash(c, r)
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeBroken, Reason: "the worker's answer broke off: " + r.Reason}
	if !c.route.Repeatable() || !c.retryCharged && !t.mayRetry(c) {
		t.finish(c.req.ID, v)
		return
	}
	t.retry(c, v)
}
