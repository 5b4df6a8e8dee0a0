// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import "time"

// A worker says with each heartbeat how much longer it is cold. Clocks differ, so what travels
// is the time that is left: a registration is kept with the time at which it came, and sent
// with what is left then.

// coldTolerance is how far the end of a worker's cold time may move before hosts are
// sent it anew: heartbeats are held up by as much. Chosen, not measured.
const coldTolerance = 500 * time.Millisecond

// coldUntil is when a worker that was seen at a time is warm.
func (w Worker) coldUntil(seen time.Time) time.Time { return seen.Add(w.Cold) }

// asOf returns the worker as it is sent now; seen is when it said what is known.
func (w Worker) asOf(seen, now time.Time) Worker {
	w.Cold = max(0, w.coldUntil(seen).Sub(now))
	return w
}

// isAsCold tells whether a heartbeat that comes now names the same end of its cold time as
// the one before.
func (e entry) isAsCold(w Worker, now time.Time) bool {
	have := e.worker().coldUntil(e.lastSeen)
	is := w.coldUntil(now)
	if !have.After(now) && !is.After(now) {
		return true
	}
	return have.After(now) == is.After(now) && have.Sub(is).Abs() <= coldTolerance
}
