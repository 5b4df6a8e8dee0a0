// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

// A request may be sent to one more worker within three limits: the route's MaxAttempts bounds
// the workers that it may have reached, maxConnectFailures bounds those to which no connection
// could be made, and the retry budget of the pool must allow it (retrybudget.go).
//
// Inputs: the route's MaxAttempts, the call's attempts, the retry budget.

// maxConnectFailures bounds the failed connections of a request, as each may take the whole
// connect timeout.
const maxConnectFailures = 4

// connectFailuresExceeded reports whether the call has failed to connect to too many workers.
func (c call) connectFailuresExceeded() bool {
	return c.attempt-c.withheld >= maxConnectFailures+c.reachedWorkers
}

// mayRetry reports whether all limits allow one more worker.
func (t *transition) mayRetry(c call) bool {
	if c.reachedWorkers >= max(1, c.route.MaxAttempts) || c.connectFailuresExceeded() || t.isBlockedForCrashes(c) {
		return false
	}
	return t.budgetAllows(c)
}

// retry sends the call to another worker, or ends it with v if there is none.
func (t *transition) retry(c call, v Verdict) {
	t.counters.Retried++
	if !c.retryCharged {
		t.chargeRetry(c.pool.ID)
	}
	c.retryCharged = false
	t.dispatch(c, v)
}
