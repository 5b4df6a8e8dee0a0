// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"
)

// An attempt is given up before its deadline only where the request may run again and has
// another worker to go to: after headerObjectives times the route's objective without a
// response header, if the retry budget allows another attempt then, and after stallPauses
// times the longest pause between the events of a stream. So a worker that died, is cut
// off or has turned slow does not hold what could be answered elsewhere.
//
// Inputs: the route's objective and longest pause, its MaxAttempts, the retry budget, and
// the workers left. Measured: giving up as soon as most answers have begun made more
// engines read the same prompts (0.737 of the worth served instead of 0.751). Never giving
// up served as much; the rule stays for workers that answer nothing.
const (
	// headerObjectives and stallPauses are chosen, not measured, beyond the above.
	headerObjectives = 2
	stallPauses      = 4
	// minHeaderTimeout and minStallTimeout bound them below. Chosen, not measured.
	minHeaderTimeout = 250 * time.Millisecond
	minStallTimeout  = time.Second
)

// responseTimeouts are how long the next attempt may wait for the response header, and
// between events; 0 is up to the deadline.
func (c call) responseTimeouts() (header, stall time.Duration) {
	if !c.route.Repeatable() || c.sent+1 >= c.route.MaxAttempts {
		return 0, 0
	}
	header = max(headerObjectives*time.Duration(c.route.Objective), minHeaderTimeout)
	if c.route.MaxPause > 0 {
		stall = max(stallPauses*time.Duration(c.route.MaxPause), minStallTimeout)
	}
	return header, stall
}

// headerLate gives the present attempt up where another one is allowed. The retry is
// charged at once, so that it is sure.
func (t *transition) headerLate(ev HeaderTimedOut) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	t.learnHeaderTime(c.route.Name, ev.Waited)
	next := c
	next.sent++
	if !c.route.Repeatable() || !t.mayRetry(next) || !t.hasAvailable(c) {
		return
	}
	t.spendRetry(c.pool.ID)
	c.paid = true
	t.calls = t.calls.With(ev.Request, c)
	t.out = append(t.out, CancelAttempt{Request: ev.Request})
}
