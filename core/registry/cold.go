// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import "time"

// Workers report with each heartbeat how much longer they are cold. As clocks differ, messages carry
// the remaining time: a registration is kept with the time of its arrival, and sent with what remains.

// coldTolerance is how far the end of a worker's cold time may move before hosts are
// sent an update: heartbeats may be delayed by as much.
const coldTolerance = 500 * time.Millisecond

// coldUntil is when a worker that was seen at a time is warm.
func (w Worker) coldUntil(seen time.Time) time.Time { return seen.Add(w.Cold) }

// asOf returns the worker as sent now; seen is when it was last seen.
func (w Worker) asOf(seen, now time.Time) Worker {
	w.Cold = max(0, w.coldUntil(seen).Sub(now))
	return w
}

// isAsCold reports whether a heartbeat that arrives now gives the same end of the cold time as the
// last one.
func (e entry) isAsCold(w Worker, now time.Time) bool {
	have := e.worker().coldUntil(e.lastSeen)
	is := w.coldUntil(now)
	if !have.After(now) && !is.After(now) {
		return true
	}
	return have.After(now) == is.After(now) && have.Sub(is).Abs() <= coldTolerance
}
