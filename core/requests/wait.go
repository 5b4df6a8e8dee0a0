// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// A host that has just started lacks the route table, the word that it is the newest
// one, and workers, for about as long as replicas need to elect a leader. A request
// that it refused would come back to a host in the same state, and be lost. So
// requests wait where they are, as long as the host is likely to be able in time for
// them: they are served in the order of rank and deadline. What will not be able in
// time is refused at once, with the time that is likely still needed.
//
// Nobody waits for a host that was able once and is not any more: its confirmation
// outlives an election, so without one it is cut off, for nobody knows how long, and
// callers are better off elsewhere.
const (
	// maxWaiting bounds the requests that wait; beyond, the least urgent are refused.
	// It is what a host with descriptors for 4,096 connections holds beside those to
	// workers.
	maxWaiting = 1024
	// usualShare is the part of the longest start that most starts take: a leader that
	// was restarted is elected at once, others after one to two election times. Paired
	// plays with a quarter, a half and three quarters gave the best worth for a half.
	usualShare = 0.5
)

// waiting is a request that waits for this host to be able.
type waiting struct {
	request Request
	since   time.Time
	// rank is known once the route is; until is when waiting would be in vain.
	rank  int
	until time.Time
}

// WithStart returns the gateway of a host that started at a time.
func (s State) WithStart(now time.Time) State {
	s.started = now
	return s
}

// Waiting is how many requests wait for this host to be able.
func (s State) Waiting() int { return s.waits.Len() }

// Starting tells whether the host may still become able for the first time.
func (s State) Starting(now time.Time) bool {
	return !s.started.IsZero() && now.Sub(s.started) < s.settings.StartTime
}

// able tells whether the host can decide on a request: it holds a table that a
// leader has confirmed, and knows workers of the pool.
func (t *turn) able(r Request) bool {
	if t.number == 0 || !t.Fresh(t.now) {
		return false
	}
	route, ok := t.index.Route(r.Host, r.Path)
	if !ok {
		return true
	}
	for _, s := range route.Shares {
		if s.Weight > 0 && !t.staffed(s.Pool) {
			return false
		}
	}
	return true
}

// staffed tells whether a worker of a pool is known to be ready.
func (t *turn) staffed(pool ident.Service) bool {
	for _, w := range t.workers.All() {
		if w.Pool == pool && w.sound(t.now) {
			return true
		}
	}
	return false
}

// Equipped tells whether a ready worker of every pool in use is known.
func (s State) Equipped(now time.Time) bool {
	t := turn{State: s, now: now}
	for _, pool := range s.index.Used() {
		if !t.staffed(pool) {
			return false
		}
	}
	return true
}

// wait keeps a request until the host is able, or refuses it because that would be in
// vain. It answers false where the request can be decided on now.
func (t *turn) wait(r Request) bool {
	if !t.Starting(t.now) || t.able(r) {
		return false
	}
	usual := t.started.Add(time.Duration(usualShare * float64(t.settings.StartTime)))
	until, rank := t.latest(r)
	if until.Before(usual) {
		t.refuse(r.ID, CodeNotReady, "this host starts and will not be able in time", max(comeBack, usual.Sub(t.now)))
		return true
	}
	t.waits = t.waits.With(r.ID, waiting{request: r, since: t.now, rank: rank, until: until})
	t.counters.Waited++
	t.out = append(t.out, Wait{Request: r.ID})
	t.shedWaiting()
	return true
}

// latest is until when a request may wait: the end of the start, or its own time if
// that is sooner.
func (t *turn) latest(r Request) (until time.Time, rank int) {
	until = t.started.Add(t.settings.StartTime)
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	route, ok := t.index.Route(r.Host, r.Path)
	if !ok {
		return until, 0
	}
	if limit := t.now.Add(time.Duration(route.Timeout)); limit.Before(until) {
		until = limit
	}
	return until, route.Rank
}

// shedWaiting refuses the least urgent request where too many wait.
func (t *turn) shedWaiting() {
	if t.waits.Len() <= maxWaiting {
		return
	}
	queue := t.queue()
	last := queue[len(queue)-1]
	t.endWait(last, CodeOverloaded, "too many requests wait for this host to start")
}

// queue are the requests that wait, the most urgent first.
func (t *turn) queue() []waiting {
	out := t.waits.Values()
	slices.SortStableFunc(out, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.until.Compare(b.until), cmp.Compare(a.request.ID, b.request.ID))
	})
	return out
}

// serveWaiting decides on what waits: it goes on where the host is able now, and is
// refused where waiting longer would be in vain.
func (t *turn) serveWaiting() {
	if t.waits.Len() == 0 {
		return
	}
	for _, w := range t.queue() {
		switch {
		case t.able(w.request):
			t.waits = t.waits.Without(w.request.ID)
			t.decide(w.request, w.since)
		case t.closing:
			t.endWait(w, CodeDraining, "this host is being stopped")
		case !t.Starting(t.now) || !t.now.Before(w.until):
			t.endWait(w, CodeNotReady, "this host has not become able in time")
		}
	}
}

// endWait refuses a request that has waited.
func (t *turn) endWait(w waiting, code Code, reason string) {
	t.waits = t.waits.Without(w.request.ID)
	t.counters.WaitedInVain += t.now.Sub(w.since)
	t.refuse(w.request.ID, code, reason, comeBack)
}

// withdrawn ends a request whose caller left while it waited.
func (t *turn) withdrawn(id ident.Request) {
	w, ok := t.waits.Get(id)
	if !ok {
		return
	}
	t.waits = t.waits.Without(id)
	t.counters.WaitedInVain += t.now.Sub(w.since)
	t.refuse(id, CodeCallerGone, "the caller left", 0)
}
