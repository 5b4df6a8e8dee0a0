// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// In listed fleets a request is retried at another target, up to maxAttempts in total, if the
// target was unreachable or declined it, or if the answer was interrupted before the caller
// received any of it and the request may run twice. Each retry takes a token from the host's retry
// budget, to which each request adds retryBudgetPerRequest. No retry starts after the deadline.
const (
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 3
	// retryBudgetPerRequest is what each request adds to the retry budget. As a retry takes 1, it
	// bounds the ratio of retries to requests. maxRetryBudget bounds the budget.
	retryBudgetPerRequest = 0.1
	maxRetryBudget        = 10
	// retryJitter bounds the random delay of a retry after a failure, so that requests that failed
	// together are not retried together.
	retryJitter = 100 * time.Millisecond
	// defaultRetryAfter is the wait that callers are advised if no better one is known.
	defaultRetryAfter = time.Second
	// minServerErrorStatus is the lowest HTTP status of a server error (RFC 9110, section 15.6).
	minServerErrorStatus = 500
)

// handleAttemptEnded finishes or retries a request after an attempt.
func (t *transition) handleAttemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok {
		return
	}
	if _, abandoned := ev.Result.(outcome.Abandoned); !abandoned && (c.phase != phaseRunning || c.attempt != ev.Attempt) {
		return
	}
	if c.phase == phaseRunning {
		t.updateHealth(c.target, ev.Result)
		c.combinedOutcome = outcome.Combine(c.combinedOutcome, outcome.Of(ev.Result))
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		if r.Status < minServerErrorStatus {
			t.crashes.recentAnswers = t.crashes.recentAnswers.With(c.content, t.now)
			t.requests = t.requests.WithCrashList(t.requests.CrashList().WithAnswer(c.content, t.now))
		}
		t.finishCall(c, Verdict{Outcome: outcome.Ran, Code: CodeOK})
	case outcome.NeverSent:
		if r.ConnectRefused {
			t.recordTargetExit(c.target, c.targetIncarnation)
		}
		c.avoidGroups = append(c.avoidGroups[:len(c.avoidGroups):len(c.avoidGroups)], c.group)
		t.retryCall(c, Verdict{Code: CodeNoTarget, Reason: "the target could not be reached: " + r.Reason}, 0)
	case outcome.Declined:
		t.retryCall(c, Verdict{Code: CodeOverloaded, Reason: "the target declined: " + r.Reason}, 0)
	case outcome.Interrupted:
		t.suspectCrash(c, r)
		v := Verdict{Code: CodeTargetFailed, Reason: "the target's answer was interrupted: " + r.Reason}
		if c.request.AtMostOnce || r.AnswerStarted {
			v.Outcome = c.combinedOutcome
			t.finishCall(c, v)
			return
		}
		t.retryCall(c, v, t.drawRetryDelay())
	case outcome.Abandoned:
		t.finishCall(c, Verdict{Outcome: c.combinedOutcome, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

func (t *transition) drawRetryDelay() time.Duration {
	t.jitterDraws++
	r := rand.New(rand.NewPCG(t.seed, t.jitterDraws)) //nolint:gosec // Jitter must be reproducible, not secret.
	return time.Duration(r.Int64N(int64(retryJitter)))
}

// retryCall sends the call to another target after delay. It finishes the call with v if the
// attempts, the retry budget or the deadline do not allow that.
func (t *transition) retryCall(c call, v Verdict, delay time.Duration) {
	v.Outcome = c.combinedOutcome
	v.RetryAfter = defaultRetryAfter
	if c.attempt >= maxAttempts || t.isRefusedForCrashes(c) || t.retryBudget < 1 || !t.now.Add(delay).Before(c.request.Deadline) {
		t.finishCall(c, v)
		return
	}
	t.retryBudget--
	t.counters.Retries++
	t.releaseCall(c)
	c.owner, c.target, c.redirects = "", "", 0
	if delay == 0 {
		t.requestPermit(c)
		return
	}
	c.phase, c.timerAt = phaseRetryDelay, t.now.Add(delay)
	t.storeCall(c)
}

// updateHealth updates a target's health from the result of an attempt.
func (t *transition) updateHealth(id ident.Target, a outcome.Attempt) {
	h, _ := t.health.Get(id)
	wasUsable := h.Usable(t.now)
	switch a := a.(type) {
	case outcome.Answered:
		t.setHealth(id, h.WithResult(true, t.now), wasUsable)
	case outcome.Declined:
		if a.RetryAfter > 0 {
			h = h.WithBackoff(a.RetryAfter, t.now)
			t.log(LogTargetHealth, string(id), fmt.Sprintf("declined, requested a backoff of %s", a.RetryAfter))
		}
		if a.Leaving {
			h = h.WithLeaving(true, t.now)
		}
		t.setHealth(id, h, wasUsable)
	case outcome.NeverSent, outcome.Interrupted:
		t.setHealth(id, h.WithResult(false, t.now), wasUsable)
	case outcome.Abandoned:
	}
}
