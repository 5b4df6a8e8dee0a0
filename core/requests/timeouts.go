// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"
)

// An attempt is canceled before its deadline only if the request is repeatable and another worker
// can take it: after headerObjectiveFactor times the route's objective without a response header,
// if the retry budget allows another attempt by then, or after eventGapFactor times the route's
// longest gap between stream events, or at once after a response that may not be its own. A worker that hangs, is partitioned, or has become slow thus
// does not hold requests that others could answer. Shorter timeouts would make more engines read
// the same prompts: canceling as soon as most answers had begun served 0.737 of the requests by value
// instead of 0.751. Never canceling served as much; the rule is for workers that answer nothing.
//
// Inputs: the route's objective and longest event gap, its MaxAttempts, the retry budget, and the
// remaining workers.
const (
	headerObjectiveFactor = 2
	eventGapFactor        = 4
	minHeaderTimeout      = 250 * time.Millisecond
	// minEventGapTimeout lets a sound worker pause for a second or two.
	minEventGapTimeout = 2 * time.Second
)

// responseTimeouts returns how long the next attempt may wait for the response header and between
// events; 0 means until the deadline.
func (c call) responseTimeouts() (header, eventGap time.Duration) {
	if !c.route.Repeatable() || c.reachedWorkers+1 >= c.route.MaxAttempts {
		return 0, 0
	}
	header = max(headerObjectiveFactor*time.Duration(c.route.Objective), minHeaderTimeout)
	if c.route.MaxPause > 0 {
		eventGap = max(eventGapFactor*time.Duration(c.route.MaxPause), minEventGapTimeout)
	}
	return header, eventGap
}

// handleHeaderTimeout cancels an attempt without a response header if another one is allowed.
func (t *transition) handleHeaderTimeout(ev HeaderTimedOut) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	t.recordHeaderTime(c.route.Name, ev.Waited)
	t.cancelForRetry(c)
}

// handleUnmatched cancels an attempt for which a response came that may not be its own, if another one is allowed.
func (t *transition) handleUnmatched(ev ResponseUnmatched) {
	if c, ok := t.calls.Get(ev.Request); ok && c.attempt == ev.Attempt {
		t.cancelForRetry(c)
	}
}

// cancelForRetry cancels the current attempt if another one is allowed. The retry is charged at once, so that the
// budget cannot run out before the retry is sent.
func (t *transition) cancelForRetry(c call) {
	next := c
	next.reachedWorkers++
	if !c.route.Repeatable() || !t.mayRetry(next) || !t.hasAvailable(c) {
		return
	}
	t.chargeRetry(c.pool.ID)
	c.retryCharged = true
	t.calls = t.calls.With(c.req.ID, c)
	t.out = append(t.out, CancelAttempt{Request: c.req.ID})
}
