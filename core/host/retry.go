// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// A request to a listed fleet's services is tried again at another target, up to maxTries
// attempts, where the target could not be reached or declined, or where its answer broke off
// before the caller saw any of it and the request may run twice. Each retry takes a token of
// the host's budget, to which each request adds budgetPerRequest, and none is made past the
// deadline.
//
// Inputs: how the attempt ended, attempts so far, the budget, the deadline, Once.
const (
	// maxTries bounds the attempts of one request. Chosen, not measured.
	maxTries = 3
	// budgetPerRequest is what each request adds to the retry budget; a retry takes 1, so
	// that retries stay under this part of requests. maxBudget bounds it. Chosen, not
	// measured.
	budgetPerRequest = 0.1
	maxBudget        = 10
	// retryJitter bounds the random pause before a retry after a failure, so that those
	// that failed together do not return together. Chosen, not measured.
	retryJitter = 100 * time.Millisecond
	// retryAfter is the advice to callers. Chosen, not measured.
	retryAfter = time.Second
	// serverError is the lowest status by which a target says that it failed (RFC 9110,
	// 15.6).
	serverError = 500
)

// attemptEnded decides what follows a try.
func (t *transition) attemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok {
		return
	}
	if _, gone := ev.Result.(outcome.Abandoned); !gone && (c.phase != phaseRunning || c.attempt != ev.Attempt) {
		return
	}
	if c.phase == phaseRunning {
		t.learnHealth(c.target, ev.Result)
		c.combined = outcome.Combine(c.combined, outcome.Of(ev.Result))
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		if r.Status < serverError {
			t.crashes.answered = t.crashes.answered.With(c.content, t.now)
			t.requests = t.requests.WithCrashList(t.requests.CrashList().WithAnswer(c.content, t.now))
		}
		t.finish(c, Verdict{Outcome: outcome.Ran, Code: CodeOK})
	case outcome.NeverSent:
		if r.ConnectRefused {
			t.targetEnded(c.target, c.boot)
		}
		c.avoid = append(c.avoid[:len(c.avoid):len(c.avoid)], c.group)
		t.retry(c, Verdict{Code: CodeNoTarget, Reason: "the target could not be reached: " + r.Reason}, 0)
	case outcome.Declined:
		t.retry(c, Verdict{Code: CodeOverloaded, Reason: "the target declined: " + r.Reason}, 0)
	case outcome.Interrupted:
		t.targetBroke(c, r)
		v := Verdict{Code: CodeTargetFailed, Reason: "the target's answer broke off: " + r.Reason}
		if c.req.AtMostOnce || r.AnswerStarted {
			v.Outcome = c.combined
			t.finish(c, v)
			return
		}
		t.retry(c, v, t.jitter())
	case outcome.Abandoned:
		t.finish(c, Verdict{Outcome: c.combined, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

func (t *transition) jitter() time.Duration {
	t.draws++
	r := rand.New(rand.NewPCG(t.seed, t.draws)) //nolint:gosec // Jitter must be reproducible, not secret.
	return time.Duration(r.Int64N(int64(retryJitter)))
}

// retry tries another target if tries, budget and deadline allow.
func (t *transition) retry(c call, v Verdict, pause time.Duration) {
	v.Outcome = c.combined
	v.RetryAfter = retryAfter
	if c.attempt >= maxTries || t.isRefused(c) || t.budget < 1 || !t.now.Add(pause).Before(c.req.Deadline) {
		t.finish(c, v)
		return
	}
	t.budget--
	t.counters.Retries++
	t.release(c)
	c.owner, c.target, c.hops = "", "", 0
	if pause == 0 {
		t.requestPermit(c)
		return
	}
	c.phase, c.wake = phaseWaiting, t.now.Add(pause)
	t.keepCall(c)
}

// learnHealth takes the result of a try as a sign of the target's health.
func (t *transition) learnHealth(id ident.Target, a outcome.Attempt) {
	h, _ := t.health.Get(id)
	was := h.Usable(t.now)
	switch a := a.(type) {
	case outcome.Answered:
		t.setHealth(id, h.WithResult(true, t.now), was)
	case outcome.Declined:
		if a.RetryAfter > 0 {
			h = h.WithBackoff(a.RetryAfter, t.now)
			t.note(LogTargetHealth, string(id), fmt.Sprintf("declined, requested a backoff of %s", a.RetryAfter))
		}
		if a.Leaving {
			h = h.WithLeaving(true, t.now)
		}
		t.setHealth(id, h, was)
	case outcome.NeverSent, outcome.Interrupted:
		t.setHealth(id, h.WithResult(false, t.now), was)
	case outcome.Abandoned:
	}
}
