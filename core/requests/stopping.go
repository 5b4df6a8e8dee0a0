// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/table"
)

// In a planned stop a host goes on admitting requests until balancers have noticed it, but only those that will
// probably end before the stop does: those whose deadline comes first, and those on routes whose latest requests have
// all taken less than what is left. Others are refused as not run, and their callers go to another host at once.
// Requests still in progress when the stop ends get the outcome that is known: not run, or maybe run.
//
// Inputs: when the stop ends, the request's deadline, the route's timeout, and how long its latest requests took.

// plannedStop is what decides on admission while this host is being stopped.
type plannedStop struct {
	// stopsAt is when the stop ends, zero if none has begun; closing is set late in it, and all new requests are then refused.
	stopsAt time.Time
	closing bool
	// routeDurations is how long the latest requests took, by route name.
	routeDurations table.Table[string, durations]
}

// recentDurations is the size of the sample of a route's requests. The longest of them stands for the slowest
// hundredth.
const recentDurations = 64

// durations holds how long the latest requests of a route took. The zero value holds none.
type durations struct {
	took [recentDurations]time.Duration
	seen int
}

// with returns the sample with one more request, in place of the oldest one.
func (d durations) with(took time.Duration) durations {
	d.took[d.seen%recentDurations] = took
	d.seen++
	return d
}

// longest returns the longest time in the sample; 0 if it is empty.
func (d durations) longest() time.Duration {
	longest := time.Duration(0)
	for _, took := range d.took {
		longest = max(longest, took)
	}
	return longest
}

// recordDuration adds the time that a request took, if it reached a worker.
func (t *transition) recordDuration(c call, v Verdict) {
	if v.Outcome == outcome.NotRun {
		return
	}
	d, _ := t.routeDurations.Get(c.route.Name)
	t.routeDurations = t.routeDurations.With(c.route.Name, d.with(t.now.Sub(c.arrived)))
}

// mayOutlastStop reports whether a request may take longer than the planned stop of this host.
func (t *transition) mayOutlastStop(r Request) bool {
	if t.stopsAt.IsZero() {
		return false
	}
	route, ok := t.routes.Route(r.Host, r.Path)
	if !ok {
		return false
	}
	left := t.stopsAt.Sub(t.now)
	limit := time.Duration(route.Timeout)
	if !r.Deadline.IsZero() {
		limit = min(limit, r.Deadline.Sub(t.now))
	}
	d, known := t.routeDurations.Get(route.Name)
	return limit > left && (!known || d.longest() > left)
}

// refuseForStop refuses a request if this host is being stopped, and reports whether it did.
func (t *transition) refuseForStop(r Request) bool {
	switch {
	case t.closing:
		t.refuseForOtherHost(r.ID, CodeDraining, "this host is being stopped")
	case t.mayOutlastStop(r):
		t.refuseForOtherHost(r.ID, CodeDraining, "this host is being stopped, and the request may take longer")
	default:
		return false
	}
	return true
}

// handleHead refuses a request by its head, before its body is read, if this host is being stopped. Duplicates are
// left to handleArrival.
func (t *transition) handleHead(r Request) {
	if !t.calls.Has(r.ID) && !t.waiting.Has(r.ID) && t.refuseForStop(r) {
		t.counters.Requests++
	}
}

// handleStopped ends a request that is still in progress at the end of a planned stop.
func (t *transition) handleStopped(ev Stopped) {
	if w, ok := t.waiting.Get(ev.Request); ok {
		t.removeUnserved(w)
		t.refuseForOtherHost(ev.Request, CodeDraining, "this host is being stopped")
		return
	}
	c, ok := t.calls.Get(ev.Request)
	if !ok {
		return
	}
	t.removeInFlight(c)
	t.keepUnproved(&c)
	if ev.Result != nil {
		c.combinedOutcome = outcome.Combine(c.combinedOutcome, outcome.Of(ev.Result))
	}
	if c.combinedOutcome == outcome.NotRun {
		t.refuseForOtherHost(ev.Request, CodeDraining, "this host was stopped before the request was run")
		return
	}
	t.finish(ev.Request, Verdict{
		Outcome: c.combinedOutcome, Code: CodeDraining, Reason: "this host was stopped before the answer was whole",
	})
}
