// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// A worker that restarts under its id is a new process. Its health, reported load and in-flight
// count are reset. Attempts in progress there are lost and aborted at once, as no answer can
// come; each is then handled like any interrupted attempt, so that a request that must run at
// most once ends as unknown. No prefix is copied from the worker until its own requests have
// refilled its cache. Its position in the rendezvous order stays, as that depends only on its id.
//
// Inputs: the start times given by registrations, and the present time.

// cacheRefillTime is how long no prefixes are copied from a restarted worker. The requests of
// returning callers refill its cache within seconds.
const cacheRefillTime = 10 * time.Second

// hasRestarted reports whether a record shows a later process than before. A record that gives a
// start time for the first time may come from the same process.
func hasRestarted(before, after registry.Record) bool {
	return before.Incarnation() != 0 && after.Incarnation() > before.Incarnation()
}

// restarted returns the worker as a new process. A backoff requested within registrationDelay is
// kept, as the new process may have requested it before it was registered.
func (w worker) restarted(now time.Time) worker {
	w.incarnation++
	w.restartedAt = now
	w.health, w.inFlight, w.avoidUntil, w.replaced = health.Target{}, 0, time.Time{}, false
	w.selfReported, w.selfReportedAt = 0, time.Time{}
	w.declinedAt, w.reportedLeaving = time.Time{}, false
	if now.Sub(w.backoffRequestedAt) > registrationDelay {
		w.backoffUntil = time.Time{}
	}
	return w
}

// mayHaveCache reports whether the worker has run long enough to have prefixes cached.
func (w *worker) mayHaveCache(now time.Time) bool {
	return w.restartedAt.IsZero() || now.Sub(w.restartedAt) >= cacheRefillTime
}

// mayBeOfLater reports whether the process at the other end of a call's connection may be a later one than that which the
// call was sent to: the connection is not known to have been opened while the earlier one ran.
func (t *transition) mayBeOfLater(c call) bool {
	if c.openedAt.IsZero() || c.route.Kind != config.RouteStream {
		return false
	}
	return !slices.ContainsFunc(t.LivesOf(c.target), func(l registry.Life) bool { return l.Born == c.born && l.RanAt(c.openedAt) })
}

// abortProved aborts the attempts at earlier processes of a worker that were spared as they might have been at the
// present one.
func (t *transition) abortProved(id ident.Target) {
	w, _ := t.workers.Get(id)
	for request, c := range t.calls.All() {
		if c.target == id && c.incarnation < w.incarnation && !c.openedAt.IsZero() && !c.pausing && !t.mayBeOfLater(c) {
			t.out = append(t.out, AbortAttempt{Request: request, Attempt: c.attempt})
		}
	}
}

// abortAttempts aborts the attempts at an earlier process of a worker.
func (t *transition) abortAttempts(id ident.Target, incarnation uint64) {
	for request, c := range t.calls.All() {
		if c.target == id && c.incarnation == incarnation && !c.pausing && !t.mayBeOfLater(c) {
			t.out = append(t.out, AbortAttempt{Request: request, Attempt: c.attempt})
		}
	}
}
