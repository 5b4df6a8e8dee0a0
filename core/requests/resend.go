// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// A worker with few slots and short work that declines, as all its slots are taken,
// has a free one a moment later. A request that has no other worker to go to waits for
// about half the time that such work usually takes and is sent to the same worker once
// more, as long as its answer can still begin within the objective and the budget of
// retries allows it. So it need not go back to its caller, who would come again later
// than that.
const (
	// maxResends bounds how often; each one doubles what the worker must turn away.
	maxResends = 3
	// resendShare of the usual time is the least pause; up to as much again is drawn
	// from the request, so that those declined together do not return together.
	resendShare = 0.5
	// unknownShare of the objective stands for the usual time where none is known.
	unknownShare = 0.25
)

// resend sends a declined request to the same worker once more, and tells whether that
// makes sense.
func (t *turn) resend(c call) bool {
	w, ok := t.workers.Get(c.target)
	usual := t.usualHead(c)
	pause := time.Duration(resendShare * float64(usual) * (1 + t.drawn(c)))
	inTime := t.now.Add(pause + usual).Sub(c.since)
	if !ok || !w.sound(t.now) || c.resends >= maxResends || inTime > time.Duration(c.route.Objective) || !t.funded(c) {
		return false
	}
	t.counters.Retried++
	t.spend(c.pool.ID)
	c.resends++
	c.attempt++
	t.use(w.ID, 1)
	t.calls = t.calls.With(c.req.ID, c)
	d := t.dispatchOf(c, choice{worker: w, of: 1})
	d.Pause = pause
	t.out = append(t.out, d)
	return true
}

// usualHead is how long most answers of the call's route take to begin.
func (t *turn) usualHead(c call) time.Duration {
	h, _ := t.heads.Get(c.route.Name)
	if !h.known {
		return time.Duration(unknownShare * float64(c.route.Objective))
	}
	return h.within(likelyDeviations)
}

// drawn is a number from 0 up to 1 that depends on the request and the try alone.
func (t *turn) drawn(c call) float64 {
	key := uint64(requestKey(c.req.ID)) >> (uint(c.resends) * resendBits)
	return float64(key%percent) / percent
}

// resendBits of a request's key are passed over with each resend.
const resendBits = 8
