// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// A declined request that may go to no other worker is sent to the same one again after a pause:
// a worker with few slots and short work has a free one a moment later, and the caller, sent away,
// would come back later than that. It is sent if the worker is healthy and does not back off, the
// answer can still begin within the route's objective, and the retry budget allows it. The
// worker is looked at again at the end of the pause.
//
// Inputs: the usual time until answers of the route begin, the objective, when the request
// arrived, the worker's health, the retry budget. Measured with three workers of six slots
// and 30 ms of work behind 87 hosts: refusals 3.2 to 0.6 in 100 requests.
const (
	// maxResends bounds how often; each one doubles what the worker must turn away.
	// Chosen, not measured.
	maxResends = 3
	// minPause, as a part of the usual time, is the least pause; up to as much again is
	// drawn from the request, so that those declined together do not return together.
	minPause = 0.5
	// unknownUsual, as a part of the objective, stands for the usual time of a route
	// that this host has no answer of yet. Chosen, not measured.
	unknownUsual = 0.25
	// resendBits of a request's key are passed over with each resend, so that each one
	// draws anew.
	resendBits = 8
)

// resend lets a declined request pause before it is sent to the same worker once more, and
// tells whether it does.
func (t *transition) resend(c call) bool {
	if _, ok := t.resendWorker(c); !ok || c.resends >= maxResends {
		return false
	}
	usual := t.usualHeaderTime(c)
	pause := time.Duration(minPause * float64(usual) * (1 + c.drawn()))
	begins := t.now.Add(pause + usual)
	if begins.Sub(c.arrived) > time.Duration(c.route.Objective) || !t.budgetAllows(c) {
		return false
	}
	t.counters.Retried++
	t.spendRetry(c.pool.ID)
	c.resends++
	c.pausing = true
	t.calls = t.calls.With(c.req.ID, c)
	t.out = append(t.out, Pause{Request: c.req.ID, Worker: c.target, For: pause})
	return true
}

// resendWorker is the worker that declined a call, where the call may be sent there again.
func (t *transition) resendWorker(c call) (worker, bool) {
	w, ok := t.workers.Get(c.target)
	return w, ok && w.healthy(t.now) && w.backoffLeft(t.now) == 0 && !t.closed(w.Zone) && !w.cold(t.now) && !t.isRefused(c)
}

// pauseEnded sends a request to its worker once more, unless the worker has requested a backoff,
// left, or been drained during the pause.
func (t *transition) pauseEnded(ev PauseEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || !c.pausing {
		return
	}
	c.pausing = false
	w, ok := t.resendWorker(c)
	switch {
	case !ev.CallerWaiting:
		t.finish(c.req.ID, Verdict{Outcome: c.combined, Code: CodeCallerGone, Reason: "the caller left"})
	case !t.now.Before(c.req.Deadline):
		t.finish(c.req.ID, Verdict{Outcome: c.combined, Code: CodeDeadline, Reason: "the deadline has passed"})
	case !ok:
		t.finishDeclined(c, Verdict{Code: CodeOverloaded, Reason: "the worker declined, and is not available after the pause"})
	default:
		t.counters.Resent++
		t.send(c, choice{worker: w, candidates: 1, kind: ResendAttempt})
	}
}

// usualHeaderTime is how long most answers of the call's route take to begin.
func (t *transition) usualHeaderTime(c call) time.Duration {
	h, _ := t.headerTimes.Get(c.route.Name)
	if !h.known {
		return time.Duration(unknownUsual * float64(c.route.Objective))
	}
	return h.usual()
}

// drawn is a number from 0 up to 1 that depends on the request and the resend alone.
func (c call) drawn() float64 {
	key := uint64(requestKey(c.req.ID)) >> (uint(c.resends) * resendBits)
	return float64(key%percent) / percent
}
