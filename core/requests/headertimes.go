// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// Each host estimates, per route, the time until answers begin, like the round-trip time estimate
// of RFC 6298: a smoothed time and a smoothed deviation. The pauses before resends depend on it.
// Declines are excluded: they come at once, and would shorten the pauses when workers are
// overloaded.
const (
	// timeGain and deviationGain are the weights of a new sample (RFC 6298: 1/8 and 1/4).
	timeGain      = 0.125
	deviationGain = 0.25
	// deviationFactor is the number of deviations above the smoothed time within which most
	// answers begin.
	deviationFactor = 1
)

// headerEstimate is the time until answers of one route begin, in seconds. The zero value has no
// sample.
type headerEstimate struct {
	smoothed  float64
	deviation float64
	known     bool
}

// withSample returns the estimate after one more sample.
func (h headerEstimate) withSample(d time.Duration) headerEstimate {
	s := d.Seconds()
	if !h.known {
		return headerEstimate{smoothed: s, deviation: s / 2, known: true}
	}
	off := s - h.smoothed
	h.deviation += deviationGain * (max(off, -off) - h.deviation)
	h.smoothed += timeGain * off
	return h
}

// expected returns the time within which most answers begin.
func (h headerEstimate) expected() time.Duration {
	return time.Duration((h.smoothed + deviationFactor*h.deviation) * float64(time.Second))
}

// recordHeaderTime adds the time until an answer began or its attempt timed out. Without the
// timeouts, only fast answers would count.
func (t *transition) recordHeaderTime(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	h, _ := t.headerEstimates.Get(route)
	t.headerEstimates = t.headerEstimates.With(route, h.withSample(took))
}

// withoutRemovedRoutes drops the estimates and durations of routes that are not in the route table.
func (s State) withoutRemovedRoutes() State {
	for name := range s.headerEstimates.All() {
		if !s.routes.Named(name) {
			s.headerEstimates = s.headerEstimates.Without(name)
		}
	}
	for name := range s.routeDurations.All() {
		if !s.routes.Named(name) {
			s.routeDurations = s.routeDurations.Without(name)
		}
	}
	return s
}
