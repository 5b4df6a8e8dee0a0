// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// Each host learns for each route how long answers take to begin, in the way in which
// RFC 6298 estimates round-trip times: a smoothed time and a smoothed deviation. Pauses
// before a resend follow it. Declines do not count: they come at once, and the pauses would shrink
// where workers need them.
const (
	// timeGain and deviationGain are the weights of a new time (RFC 6298: 1/8, 1/4).
	timeGain      = 0.125
	deviationGain = 0.25
	// usualDeviations is how many deviations beyond the smoothed time most answers take
	// at most. Chosen, not measured.
	usualDeviations = 1
)

// headerTimes are how long the answers of one route take to begin, in seconds. The zero
// value knows nothing.
type headerTimes struct {
	smoothed  float64
	deviation float64
	known     bool
}

// with adds one time.
func (h headerTimes) with(d time.Duration) headerTimes {
	s := d.Seconds()
	if !h.known {
		return headerTimes{smoothed: s, deviation: s / 2, known: true}
	}
	off := s - h.smoothed
	h.deviation += deviationGain * (max(off, -off) - h.deviation)
	h.smoothed += timeGain * off
	return h
}

// usual is the time within which most answers begin.
func (h headerTimes) usual() time.Duration {
	return time.Duration((h.smoothed + usualDeviations*h.deviation) * float64(time.Second))
}

// learnHeaderTime takes the time until an answer began, or until it was no longer waited
// for: without the latter only fast answers would count.
func (t *transition) learnHeaderTime(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	h, _ := t.headerTimes.Get(route)
	t.headerTimes = t.headerTimes.With(route, h.with(took))
}

// withoutOldRoutes drops what is known of routes that are no longer in force.
func (s State) withoutOldRoutes() State {
	for name := range s.headerTimes.All() {
		if !s.index.Named(name) {
			s.headerTimes = s.headerTimes.Without(name)
		}
	}
	return s
}
