// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

// Brittle workers crash if they must decline more than a few requests in a second for want of room, and
// say so, with that number, in their answers. No host knows what the others are sending at the moment,
// so each keeps to its part of a brittle worker, its slots divided by the number of hosts: all hosts
// together send what the worker has slots for, and nothing waits there. With more hosts than slots, a
// host sends a worker one request at a time, and lets its rate grow only as far as the workers' load is
// low, and not while it is not known: a burst grows no faster than reports of loads come round.
//
// A request that finds no room pauses at the host and tries again, as long as it can still be answered
// within its objective. A brittle worker that declines all the same gets nothing from the host for the
// time in which the hosts together, each with one declined request, would reach its limit.
//
// What one worker says holds for its pool: a service's workers become brittle together, and a host may
// use some of them for the first time.
//
// Inputs: the limit that workers report, their slots, the number of entry hosts, requests in progress
// and reported loads.
const (
	// brittleLifetime is how long a report stays valid. Each answer renews it.
	brittleLifetime = 5 * time.Second
	// lowLoad is the fraction of a worker's slots up to which the load of a pool may grow where hosts
	// cannot divide its slots: beyond it, workers without a queue decline too often by chance. A host
	// may send up to maxGrowth times its usual rate, and leastRate more.
	lowLoad   = 0.35
	maxGrowth = 4.0
	leastRate = 1.0
	// usualTime and presentTime are the time constants of a host's rates.
	usualTime   = 5 * time.Second
	presentTime = time.Second
	// minBrittleBackoff and maxBrittleBackoff bound the time without requests after a decline.
	minBrittleBackoff = time.Second
	maxBrittleBackoff = 15 * time.Second
	// roomPoll is how long a request waits before it looks for room again.
	roomPoll = 10 * time.Millisecond
)

// brittleness is what a pool's workers last reported.
type brittleness struct {
	// limit is the number of requests that a worker may decline in a second.
	limit int
	until time.Time
}

// sendRate is the rate at which a host sends requests to a pool. The zero value has sent none.
type sendRate struct {
	// usual and present are moving averages over usualTime and presentTime, in requests a second, as
	// of at.
	usual   float64
	present float64
	at      time.Time
}

// asOf returns the rate at a later time.
func (r sendRate) asOf(now time.Time) sendRate {
	elapsed := now.Sub(r.at).Seconds()
	r.usual *= math.Exp(-elapsed / usualTime.Seconds())
	r.present *= math.Exp(-elapsed / presentTime.Seconds())
	r.at = now
	return r
}

// withRequest returns the rate after one more request.
func (r sendRate) withRequest(now time.Time) sendRate {
	r = r.asOf(now)
	r.usual += 1 / usualTime.Seconds()
	r.present += 1 / presentTime.Seconds()
	return r
}

// mayGrow reports whether one more request keeps the rate within what a pool with a mean load, as a
// fraction of its slots, can take.
func (r sendRate) mayGrow(load float64) bool {
	growth := min(max(1, lowLoad/max(load, lowLoad/maxGrowth)), maxGrowth)
	return r.present <= growth*r.usual+leastRate
}

// brittle returns what the workers of a pool report; the zero value if they are not brittle.
func (t *transition) brittle(pool ident.Service) brittleness {
	b, _ := t.brittlePools.Get(pool)
	if !t.now.Before(b.until) {
		return brittleness{}
	}
	return b
}

// isBrittle reports whether the workers of a pool are brittle.
func (t *transition) isBrittle(pool ident.Service) bool { return t.brittle(pool).limit > 0 }

// recordBrittle records that a worker reports that it is brittle.
func (t *transition) recordBrittle(w worker, limit int) {
	if limit > 0 {
		t.brittlePools = t.brittlePools.With(w.Pool, brittleness{limit: limit, until: t.now.Add(brittleLifetime)})
	}
}

// hasRoom reports whether this host may send one more request to a worker that may be brittle.
func (t *transition) hasRoom(p config.Pool, w *worker, c candidate) bool {
	if !t.isBrittle(p.ID) {
		return true
	}
	extra := t.extraRoom(p.ID)
	if share := c.slots / max(1, t.hostCount); share >= 1 || extra > 0 {
		return w.inFlight < max(1, share)+extra
	}
	load := c.smoothedLoad / float64(max(1, c.slots))
	if c.aged {
		load = 1
	}
	rate, _ := t.sendRates.Get(p.ID)
	return w.inFlight == 0 && rate.asOf(t.now).mayGrow(load)
}

// limitedClass returns the class of a worker that gets only a part of its requests from this host, or
// available if it may get one more.
func (t *transition) limitedClass(c call, w *worker, current candidate) memberClass {
	switch {
	case !t.mayUseCold(c.pool, w):
		return coldSkipped
	case !t.hasRoom(c.pool, w, current):
		return withoutRoom
	}
	return available
}

// backoffAfterDecline returns the time without requests to a brittle worker that declined; 0 if it is
// not brittle.
func (t *transition) backoffAfterDecline(w worker) time.Duration {
	b := t.brittle(w.Pool)
	if b.limit == 0 {
		return 0
	}
	t.shrinkRoom(w.Pool)
	return min(max(minBrittleBackoff, time.Second*time.Duration(t.hostCount)/time.Duration(b.limit)), maxBrittleBackoff)
}

// handleRoomAwaited looks for room again after a pause.
func (t *transition) handleRoomAwaited(c call, ev PauseEnded) {
	c.awaitsRoom = false
	if !ev.CallerWaiting {
		t.finish(c.req.ID, Verdict{Outcome: c.combinedOutcome, Code: CodeCallerGone, Reason: "the caller left"})
		return
	}
	t.dispatch(c, Verdict{Code: CodeOverloaded, Reason: "no worker of the service has room"})
}

// pauseForRoom pauses a call that found no room at brittle workers. It reports false if the call could
// then no longer be answered within its objective.
func (t *transition) pauseForRoom(c call) bool {
	begins := t.now.Add(roomPoll + t.expectedHeaderTime(c))
	if begins.Sub(c.arrived) > time.Duration(c.route.Objective) || !begins.Before(c.req.Deadline) {
		return false
	}
	c.pausing, c.awaitsRoom = true, true
	t.calls = t.calls.With(c.req.ID, c)
	t.out = append(t.out, Pause{Request: c.req.ID, For: roomPoll})
	return true
}
