// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// A worker that starts again under its id is another process. What was believed of the
// earlier one ends: its health, its reports of load, the requests that this host counted
// there. Attempts in progress there are lost: they are broken off at once, as no answer can
// come, and what follows is decided as for any broken attempt, so that a request that must
// not run twice ends as unknown. Nobody takes a prefix from the worker until its own
// requests have brought prefixes back. Its place in the order of preference stays, as that
// hangs on its id.
//
// Inputs: the starts that registrations give, and the present time.

// cacheRefillTime is how long a worker that started again is not asked for prefixes. Chosen,
// not measured: the prefixes of returning callers come back to it within seconds.
const cacheRefillTime = 10 * time.Second

// startedAgain tells whether a record shows a later process than it did before. One that
// first gives its start may be the same as before.
func startedAgain(before, after registry.Record) bool {
	return before.Incarnation() != 0 && after.Incarnation() > before.Incarnation()
}

// startedAgain returns the worker as another process.
func (w worker) startedAgain(now time.Time) worker {
	w.life++
	w.startedAgainAt = now
	w.health, w.inFlight, w.fullUntil, w.replaced = health.Target{}, 0, time.Time{}, false
	w.selfReported, w.selfReportedAt = 0, time.Time{}
	w.declinedAt, w.saysLeaving = time.Time{}, false
	if now.Sub(w.backoffRequestedAt) > registrationDelay {
		w.backoffUntil = time.Time{}
	}
	return w
}

// mayHoldCache tells whether the worker has run for long enough to hold prefixes.
func (w worker) mayHoldCache(now time.Time) bool {
	return w.startedAgainAt.IsZero() || now.Sub(w.startedAgainAt) >= cacheRefillTime
}

// loseAttempts breaks off the attempts at an earlier process of a worker.
func (t *transition) loseAttempts(id ident.Target, life uint64) {
	for request, c := range t.calls.All() {
		if c.target == id && c.life == life && !c.pausing {
			t.out = append(t.out, AbortAttempt{Request: request, Attempt: c.attempt})
		}
	}
}
