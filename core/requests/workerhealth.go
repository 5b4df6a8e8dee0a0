// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/outcome"
)

// Each attempt tells of its worker. A failure counts toward its ejection, an answer ends
// the count, and a worker that could not be connected to is ejected at once (package
// health has the times). One that declines is passed over for fullPause; one that declines
// as it leaves, or as another worker has its address, gets nothing more.
//
// Inputs: how the attempt ended, and the worker's health so far.

// fullPause is how long a worker that declined is passed over. Chosen, not measured;
// without the rule 0.75 in 100 requests were refused, with it 0.50, where three workers of
// six slots serve 87 hosts.
const fullPause = 200 * time.Millisecond

// learnHealth takes the result of an attempt as a sign of the worker's health.
func (t *transition) learnHealth(c call, a outcome.Attempt) {
	w, ok := t.workers.Get(c.target)
	if !ok || w.life != c.life {
		return
	}
	if isSilence(a) {
		t.connectFailed(w)
	} else if fromWorker(a) {
		t.zoneAnswered(w.Zone)
		w, _ = t.workers.Get(c.target)
	}
	before := w.healthy(t.now)
	t.noteReplaced(w, a)
	w = w.withResult(a, t.now)
	t.workers = t.workers.With(c.target, w)
	if after := w.healthy(t.now); after != before {
		t.out = append(t.out, WorkerChanged{
			Worker: w.Worker, Healthy: after, Failures: w.health.Failures, Reason: evidence(a),
		})
	}
}

// withResult returns the worker after an attempt.
func (w worker) withResult(a outcome.Attempt, now time.Time) worker {
	switch a := a.(type) {
	case outcome.Answered:
		w.health = w.health.WithResult(a.Status < serverError, now)
	case outcome.Declined:
		w.replaced = w.replaced || a.Leaving
		w.declinedAt, w.fullUntil = now, latest(w.fullUntil, now.Add(fullPause))
	case outcome.NeverSent:
		w.health = w.health.WithUnreachable(now)
	case outcome.Interrupted:
		w.health = w.health.WithResult(false, now)
	case outcome.Abandoned:
	}
	return w
}

// isSilence tells whether nothing came from the worker, not even a refusal.
func isSilence(a outcome.Attempt) bool {
	switch a := a.(type) {
	case outcome.NeverSent:
		return a.ConnectTimedOut
	case outcome.Interrupted:
		return a.TimedOut
	}
	return false
}

// fromWorker tells whether the worker itself answered.
func fromWorker(a outcome.Attempt) bool {
	switch a.(type) {
	case outcome.Answered, outcome.Declined:
		return true
	}
	return false
}

// evidence names what was seen of a worker, for the log.
func evidence(a outcome.Attempt) string {
	switch a := a.(type) {
	case outcome.NeverSent:
		return a.Reason
	case outcome.Declined:
		return a.Reason
	case outcome.Interrupted:
		return a.Reason
	}
	return "an answer"
}
