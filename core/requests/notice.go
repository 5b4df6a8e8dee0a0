// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/outcome"
)

// A worker that declines may say for how long it wants nothing more from this host. Until that
// time is over it gets nothing: no first attempt, no second one, none as a last resort, and none
// once more after a pause. The time is the worker's to choose: it knows what it has from all
// hosts and how long that takes. To a host, a worker that declines everything has no requests
// and answers at once, and so looks better than those that serve.
//
// A worker that only says that it gets too many requests (429) is passed over for the time that it
// gives while another is available, and is still there as a last resort: it may take the next
// request. Measured where nine engines decline 0.4 of their requests so for six of 30 s, three
// seeds: 0.007, 0.017 and 0.017 of all were refused without the rule, 0.006, 0.017 and 0.008 with it,
// and 0.020, 0.042 and 0.027 where such a worker gets nothing.
//
// A worker that leaves says so with each answer, and gets nothing new from then on, whatever is
// registered: its heartbeats may be late, or go to replicas that this host can't reach, and a
// worker does not change its mind. Only another process under its id may take requests again.
//
// Where all workers that could take a request want nothing, it is refused at once. Its caller is
// told to come back when the first of them takes requests again: the most urgent callers first,
// and those of one rank one after the other, as all at once would be declined again. A caller
// whose request was declined while others are available comes back at once, as it then goes to
// one of these.
//
// Inputs: what workers say with their answers, the pool's workers, the request's rank.
const (
	// returnGap is the time over which callers of one rank return, and the one between ranks.
	// Chosen, not measured.
	returnGap = 100 * time.Millisecond
)

// Notice is what a worker says of itself with an answer. The zero value says nothing.
type Notice struct {
	// Leaving is set where the worker is being stopped.
	Leaving bool
	// Backoff is for how long the worker wants nothing more from this host.
	Backoff time.Duration
	// Reluctance is for how long it is better passed over, where others take the request.
	Reluctance time.Duration
}

// backoffLeft is for how much longer the worker wants nothing.
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
	w.fullUntil = latest(w.fullUntil, now.Add(n.Reluctance))
	w.backoffUntil = latest(w.backoffUntil, now.Add(n.Backoff))
	return w
}

// leastBackoff is the time until the first of all workers that may take a call wants something;
// 0 where one does, or there is none.
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

// backoffVerdict ends a call where all workers want nothing.
func (t *transition) backoffVerdict(c call, v Verdict) Verdict {
	if c.attempt == 0 {
		v.Code, v.Reason = CodeOverloaded, "all workers of the service want nothing for now"
	}
	if c.combined == outcome.NotRun {
		v.RetryAfter = t.retryAfterBackoff(c)
	}
	return v
}

// retryAfterBackoff is when the caller of a call may come back where all workers want nothing.
func (t *transition) retryAfterBackoff(c call) time.Duration {
	return t.leastBackoff(c) + time.Duration((float64(c.rank)+c.drawn())*float64(returnGap))
}

// retryAfterDecline is when the caller of a call may come back that its worker declined.
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
		t.noticed(next, "an answer says that it leaves")
	}
	if ev.Notice.Backoff > 0 && w.backoffLeft(t.now) == 0 {
		t.counters.BackoffsAsked++
		t.noticed(next, fmt.Sprintf("it declined and wants nothing for %s", ev.Notice.Backoff))
	}
}

// noticed tells the log what a worker said.
func (t *transition) noticed(w worker, why string) {
	t.out = append(t.out, WorkerChanged{Worker: w.Worker, Healthy: w.healthy(t.now), Failures: w.health.Failures, Why: why})
}
