// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/outcome"
)

// A worker that declines may request a backoff: no requests from this host for a time. It is
// obeyed on every path: first attempts, retries, resends and the last resort. A worker that declines
// everything has no load and answers at once, so that it would look better than those that serve.
//
// A worker that answers 429 is only passed over for the time that it gives, and stays a last resort,
// as it may take the next request.
//
// A worker whose answer says that it leaves gets nothing new, whatever is registered: heartbeats
// may be late, or reach replicas that this host cannot. Only another process under its id is used
// again.
//
// Where all workers of a pool back off, requests are refused at once. Retry-After
// is the time until the first worker is available again; the most urgent callers return first, and
// those of one rank spread over a while. A caller whose request was declined while other workers are available
// returns at once.
//
// A worker that starts again may request a backoff before its registration tells of the start. So a
// start ends only backoffs that were requested longer ago than a registration takes.
//
// Inputs: what workers say with their answers, the pool's workers, the request's rank.

const (
	// returnGap is the time over which callers of one rank return, and the time between ranks.
	returnGap = 100 * time.Millisecond
	// registrationDelay is how late a registration may tell of a worker's start.
	registrationDelay = 5 * time.Second
)

// Notice is what a worker says of itself with an answer. The zero value says nothing.
type Notice struct {
	// Leaving is set where the worker is being stopped.
	Leaving bool
	// Backoff is for how long the worker must get nothing from this host.
	Backoff time.Duration
	// SoftBackoff is for how long other workers are preferred.
	SoftBackoff time.Duration
}

// backoffLeft is what is left of the worker's backoff.
func (w worker) backoffLeft(now time.Time) time.Duration { return max(0, w.backoffUntil.Sub(now)) }

// latest is the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withNotice returns the worker after it said something of itself.
func (w worker) withNotice(n Notice, now time.Time) worker {
	w.saysLeaving = w.saysLeaving || n.Leaving
	w.fullUntil = latest(w.fullUntil, now.Add(n.SoftBackoff))
	if n.Backoff > 0 {
		w.backoffRequestedAt, w.backoffUntil = now, latest(w.backoffUntil, now.Add(n.Backoff))
	}
	return w
}

// leastBackoff is the time until the first of the workers that may take a call is available; 0 where
// one does not back off, or there is none.
func (t *transition) leastBackoff(c call) time.Duration {
	least := time.Duration(0)
	for _, w := range t.workers.All() {
		if w.Pool != c.pool.ID || !w.maybeAlive() || t.closed(w.Zone) {
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

// backoffVerdict ends a call where all workers back off.
func (t *transition) backoffVerdict(c call, v Verdict) Verdict {
	if c.attempt == 0 {
		v.Code, v.Reason = CodeOverloaded, "all workers of the service requested a backoff"
	}
	if c.combined == outcome.NotRun {
		v.RetryAfter = t.retryAfterBackoff(c)
	}
	return v
}

// retryAfterBackoff is the advice to the caller of a call where all workers back off.
func (t *transition) retryAfterBackoff(c call) time.Duration {
	return t.leastBackoff(c) + time.Duration((float64(c.rank)+c.drawn())*float64(returnGap))
}

// retryAfterDecline is the advice to the caller of a call that its worker declined.
func (t *transition) retryAfterDecline(c call) time.Duration {
	w, _ := t.workers.Get(c.target)
	switch {
	case w.backoffLeft(t.now) > 0 && t.hasAvailable(c):
		return retryAfterElsewhere
	case t.leastBackoff(c) > 0:
		return t.retryAfterBackoff(c)
	}
	return retryAfter
}

// takeNotice remembers what a worker says of itself, unless its process has ended since.
func (t *transition) takeNotice(ev HeaderReceived) {
	w, known := t.workers.Get(ev.Worker)
	c, running := t.calls.Get(ev.Request)
	if ev.Notice == (Notice{}) || !known || !running || c.attempt != ev.Attempt || c.life != w.life {
		return
	}
	next := w.withNotice(ev.Notice, t.now)
	t.workers = t.workers.With(ev.Worker, next)
	if next.saysLeaving && !w.saysLeaving {
		t.noticed(next, "its answer says that it leaves")
	}
	if ev.Notice.Backoff > 0 && w.backoffLeft(t.now) == 0 {
		t.counters.Backoffs++
		t.noticed(next, fmt.Sprintf("declined, requested a backoff of %s", ev.Notice.Backoff))
	}
}

// noticed tells the log what a worker said.
func (t *transition) noticed(w worker, why string) {
	t.out = append(t.out, WorkerChanged{Worker: w.Worker, Healthy: w.healthy(t.now), Failures: w.health.Failures, Reason: why})
}
