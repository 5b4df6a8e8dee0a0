// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

// A request may be sent to one more worker while three limits allow it: the route's
// MaxAttempts counts the workers that it may have reached; maxConnects counts those beyond
// that could not be connected to; and the retry budget of its pool allows it
// (retrybudget.go).
//
// Inputs: the route's MaxAttempts, the call's attempts, the budget.

// maxConnects bounds the workers that a request finds out of reach: each costs it up
// to the time of a connection attempt. Chosen, not measured.
const maxConnects = 4

// connectsUsedUp tells whether the call has found too many workers out of reach.
func (c call) connectsUsedUp() bool { return c.attempt >= maxConnects+c.sent }

// mayRetry tells whether all limits allow one more worker.
func (t *transition) mayRetry(c call) bool {
	if c.sent >= max(1, c.route.MaxAttempts) || c.connectsUsedUp() || t.isRefused(c) {
		return false
	}
	return t.budgetAllows(c)
}

// retry sends the call to another worker, or ends it with v where there is none.
func (t *transition) retry(c call, v Verdict) {
	t.counters.Retried++
	if !c.paid {
		t.spendRetry(c.pool.ID)
	}
	c.paid = false
	t.dispatch(c, v)
}
