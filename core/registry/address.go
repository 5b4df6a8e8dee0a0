// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// An address belongs to the process that started last there, where both say when they
// started, or else to the one that registered last. A heartbeat of an earlier process may
// arrive late, and must not bring it back; but one that goes on sending heartbeats lives,
// whatever was known of it.

// reclaimHeartbeats are the heartbeats in a row after which a process that seems to have
// been succeeded counts as alive: one that is gone leaves one or two on their way, not
// more.
const reclaimHeartbeats = 3

// isDisplaced reports whether another process registered later at a worker's address.
func (r Registry) isDisplaced(w Worker) bool {
	holder, ok := r.owners.Get(w.Address)
	if !ok || holder == w.ID {
		return false
	}
	e, _ := r.workers.Get(holder)
	return !w.Born.succeeds(e.worker().Born)
}

// succeededAt reports whether a process that started later is registered at a worker's
// address.
func (r Registry) succeededAt(w Worker) bool {
	holder, _ := r.owners.Get(w.Address)
	e, ok := r.workers.Get(holder)
	return ok && holder != w.ID && w.Address != "" && e.worker().Born.succeeds(w.Born)
}

// displaceFrom gives an address to a process: the one that held it gets no more work.
func (r Registry) displaceFrom(address string, to ident.Target) Registry {
	if address == "" {
		return r
	}
	holder, held := r.owners.Get(address)
	r.owners = r.owners.With(address, to)
	e, known := r.workers.Get(holder)
	w := e.worker()
	if !held || holder == to || !known || w.State != Ready || w.Address != address {
		return r
	}
	w.State = Silent
	return r.with(e, w, e.lastSeen)
}

// WithReplaced takes an observation that another process answered at a worker's address at
// seenAt, where no heartbeat of the worker came since: until its next one it counts
// as silent.
func (r Registry) WithReplaced(id ident.Target, born Incarnation, seenAt time.Time) (next Registry, changed bool) {
	e, known := r.workers.Get(id)
	w := e.worker()
	if !known || w.State != Ready || w.Born != born || e.lastSeen.After(seenAt) {
		return r, false
	}
	w.State = Silent
	return r.with(e, w, e.lastSeen), true
}

// claim is a row of heartbeats of a process that seems to have started before the one
// known, or that gives its start for the first time after a deregistration without one. A
// worker whose clock was set back before it started again looks like that. Its claim is
// accepted after reclaimHeartbeats, if none of the process known came in between; it is
// then known as an incarnation just after that one.
type claim struct {
	born       Incarnation
	seq        uint64
	heartbeats int
	// accepted is the incarnation that the process is known as; 0 for none yet.
	accepted Incarnation
}

// incarnationOf is what a process that says when it started is known as.
func (c claim) incarnationOf(born Incarnation) Incarnation {
	if c.accepted != 0 && born == c.born {
		return c.accepted
	}
	return born
}

// with counts a heartbeat of the row.
func (c claim) with(w Worker) claim {
	if c.born != w.Born {
		return claim{born: w.Born, seq: w.Seq, heartbeats: 1}
	}
	if w.Seq > c.seq {
		c.seq = w.Seq
		c.heartbeats++
	}
	return c
}

// identified finds out which process a heartbeat is of: the one known, a later one, one
// that seems to be earlier, or one that does not say. It returns the heartbeat under the
// incarnation that its process is known as, and the entry with what it shows; counts is
// false where the heartbeat is taken for late.
func (e entry) identified(w Worker) (_ Worker, _ entry, counts bool) {
	have := e.worker()
	w.Born = e.claim.incarnationOf(w.Born)
	switch {
	case w.Born == have.Born:
		if e.claim.accepted == 0 {
			e.claim = claim{}
		}
		return w, e, true
	case w.Born == 0:
		return e.withoutStart(w)
	case w.Born.succeeds(have.Born) || have.Born == 0 && have.State != Gone:
		e.claim, e.displaced = claim{}, 0
		return w, e, true
	}
	e.claim = e.claim.with(w)
	if e.claim.heartbeats < reclaimHeartbeats {
		return w, e, false
	}
	if have.Born != 0 {
		e.claim.accepted = have.Born + 1
		w.Born = e.claim.accepted
	}
	return w, e, true
}

// withoutStart takes a heartbeat that does not say when its process started, as a relay of
// an earlier program passes it on, for one of the process known. As it may be late and of
// an earlier one, its sequence is not taken over.
func (e entry) withoutStart(w Worker) (_ Worker, _ entry, counts bool) {
	have := e.worker()
	if w.Seq <= have.Seq {
		return w, e, false
	}
	w.Born, w.Seq = have.Born, have.Seq+1
	return w, e, true
}

// Displaced reports, for a host that gets reports of several registries, whether a live process
// registered later at a worker's address. here are the workers registered there, in the order in
// which they came.
func Displaced(w Worker, here []ident.Target, get func(ident.Target) (Worker, bool)) bool {
	own := slices.Index(here, w.ID)
	for i, id := range here {
		other, ok := get(id)
		alive := other.State == Ready || other.State == Draining
		if id == w.ID || !ok || !alive || other.Address != w.Address {
			continue
		}
		if other.Born.succeeds(w.Born) || !w.Born.succeeds(other.Born) && i > own {
			return true
		}
	}
	return false
}
