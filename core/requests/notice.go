// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/outcome"
)

// A worker that declines may request a backoff: no requests from this host for some time. It
// applies to first attempts, retries, resends and the choice of last resort. Without it, a worker
// that declines everything would be preferred, as it has no load and answers at once.
//
// A worker that answers 429 is only avoided for the time given, and remains a last resort, as it
// may accept the next request.
//
// A worker whose answer says that it is leaving (shutting down) gets nothing new, whatever its
// registration says: heartbeats may be late, or reach only replicas that this host cannot reach.
// Only a new process under its id is used again.
//
// A worker that reports that it is brittle gets what all hosts together may send it (brittle.go).
//
// If all workers of a pool have a backoff, requests are refused at once. Retry-After is the time
// until the first worker is available again, extended by rank, so that the most urgent callers
// return first, and spread within a rank. A caller whose request was declined while other workers
// are available may return at once.
//
// A restarted worker may request a backoff before its new registration arrives, so a restart
// clears only backoffs requested longer ago than registrationDelay.
//
// Inputs: what workers report with their answers, the pool's workers, and the request's rank.

const (
	// returnInterval is the time over which callers of one rank return, and between ranks.
	returnInterval = 100 * time.Millisecond
	// registrationDelay is the longest delay of the registration that reports a worker's restart.
	registrationDelay = 5 * time.Second
)

// Notice is what a worker reports about itself with an answer. The zero value reports nothing.
type Notice struct {
	// Leaving is set if the worker is leaving, that is, shutting down.
	Leaving bool
	// Backoff is how long this host must send the worker nothing.
	Backoff time.Duration
	// SoftBackoff is how long other workers are preferred; the worker remains a last resort.
	SoftBackoff time.Duration
	// Brittle is the number of requests that the worker can decline in a second without crashing; 0 if
	// it reports none.
	Brittle int
}

// backoffLeft returns the remaining time of the worker's backoff.
func (w *worker) backoffLeft(now time.Time) time.Duration { return max(0, w.backoffUntil.Sub(now)) }

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withNotice returns the worker with the state that it reported.
func (w worker) withNotice(n Notice, now time.Time) worker {
	w.reportedLeaving = w.reportedLeaving || n.Leaving
	w.avoidUntil = latest(w.avoidUntil, now.Add(n.SoftBackoff))
	if n.Backoff > 0 {
		w.backoffRequestedAt, w.backoffUntil = now, latest(w.backoffUntil, now.Add(n.Backoff))
	}
	return w
}

// shortestBackoff returns the time until the first worker that may take the call is available; 0
// if one has no backoff or there is none.
func (t *transition) shortestBackoff(c call) time.Duration {
	least, versions := time.Duration(0), t.versionsFor(c)
	for w := range t.workers.Workers(c.pool.ID) {
		if !w.mayBeAlive() || t.isZoneClosed(w.Zone) || !versions.allow(w) {
			continue
		}
		left := w.backoffLeft(t.now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// backoffVerdict completes the verdict on a call for which all workers have a backoff.
func (t *transition) backoffVerdict(c call, v Verdict) Verdict {
	if c.attempt == 0 {
		v.Code, v.Reason = CodeOverloaded, "all workers of the service requested a backoff"
	}
	if c.combinedOutcome == outcome.NotRun {
		v.RetryAfter = t.retryAfterBackoff(c)
	}
	return v
}

// retryAfterBackoff returns the Retry-After advice for a call for which all workers have a
// backoff.
func (t *transition) retryAfterBackoff(c call) time.Duration {
	return t.shortestBackoff(c) + time.Duration((float64(c.rank)+c.drawFraction())*float64(returnInterval))
}

// retryAfterDecline returns the Retry-After advice for a call that its worker declined.
func (t *transition) retryAfterDecline(c call) time.Duration {
	w, _ := t.workers.Get(c.target)
	switch {
	case w.backoffLeft(t.now) > 0 && t.hasAvailable(c):
		return retryAfterElsewhere
	case t.shortestBackoff(c) > 0:
		return t.retryAfterBackoff(c)
	}
	return retryAfter
}

// applyNotice records what a worker reports about itself, unless the process that answered has
// been replaced.
func (t *transition) applyNotice(ev HeaderReceived) {
	w, known := t.workers.Get(ev.Worker)
	c, running := t.calls.Get(ev.Request)
	if ev.Notice == (Notice{}) || !known || !running || c.attempt != ev.Attempt || c.incarnation != w.incarnation {
		return
	}
	t.recordBrittle(w, ev.Notice.Brittle)
	next := w.withNotice(ev.Notice, t.now)
	t.workers = t.workers.With(ev.Worker, next)
	if next.reportedLeaving && !w.reportedLeaving {
		t.logWorkerChange(next, "its answer says that it is leaving")
	}
	if ev.Notice.Backoff > 0 && w.backoffLeft(t.now) == 0 {
		t.counters.Backoffs++
		t.logWorkerChange(next, fmt.Sprintf("declined, requested a backoff of %s", ev.Notice.Backoff))
	}
}

// logWorkerChange emits a change in a worker's state for the log.
func (t *transition) logWorkerChange(w worker, why string) {
	t.out = append(t.out, WorkerChanged{Worker: w.Worker, Healthy: w.healthy(t.now), Failures: w.health.Failures, Reason: why})
}
