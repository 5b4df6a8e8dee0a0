// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"fmt"
	"time"
)

// Notice is what a worker says of itself with an answer. The zero value says nothing.
type Notice struct {
	// Leaving is set where the worker is being stopped.
	Leaving bool
	// Backoff is for how long the worker wants nothing more from this host.
	Backoff time.Duration
}

// backoffLeft is for how much longer the worker wants nothing.
func (w worker) backoffLeft(now time.Time) time.Duration { return max(0, w.backoffUntil.Sub(now)) }

// withNotice returns the worker after it said something of itself.
func (w worker) withNotice(n Notice, now time.Time) worker {
	w.saysLeaving = w.saysLeaving || n.Leaving
	if until := now.Add(n.Backoff); until.After(w.backoffUntil) {
		w.backoffUntil = until
	}
	return w
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
