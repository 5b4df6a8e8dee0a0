// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
)

// worker is what this host knows of one worker. How far it is trusted is a scale: one
// that is available is healthy, one that is healthy may be alive.
type worker struct {
	// Worker is what the record of its registrations comes to.
	registry.Worker
	record registry.Record
	// registeredAt is when a registration last said something new.
	registeredAt time.Time
	// key is the hash of its id, for the order of preference.
	key hash.Key
	tag loads.Tag
	// reportedBy is the host from which its registration came last.
	reportedBy ident.Host
	health     health.Target
	// inFlight is how many requests this host has there.
	inFlight int
	// selfReported is how many the other hosts have, by the worker's own report at
	// selfReportedAt.
	selfReported   int
	selfReportedAt time.Time
	// life counts how often the worker started again under its id, startedAgainAt is when
	// this host last learned of it.
	life           uint64
	startedAgainAt time.Time
	// displaced is set while another process is registered at the address that came there
	// later, replaced where another worker answers there.
	displaced bool
	replaced  bool
	// declinedAt is when the worker last declined, fullUntil how long it is passed over then.
	declinedAt time.Time
	fullUntil  time.Time
	// saysLeaving is set once an answer said that the worker leaves, backoffUntil is the end of
	// the backoff that it requested at backoffRequestedAt.
	saysLeaving        bool
	backoffUntil       time.Time
	backoffRequestedAt time.Time
	// coldUntil is when the worker is warm, coldSentAt when this host last sent it a request
	// while it was cold.
	coldUntil  time.Time
	coldSentAt time.Time
}

// available tells whether new work may be sent to the worker: it is healthy, has not just
// declined, and does not back off.
func (w worker) available(now time.Time) bool {
	return w.healthy(now) && !now.Before(w.fullUntil) && w.backoffLeft(now) == 0
}

// healthy tells whether the worker is registered as ready and not ejected.
func (w worker) healthy(now time.Time) bool {
	return w.State == registry.Ready && !w.succeeded() && !w.saysLeaving && w.health.Usable(now)
}

// maybeAlive tells whether work may be sent there where nothing better is left.
func (w worker) maybeAlive() bool {
	return !w.succeeded() && !w.saysLeaving && (w.State == registry.Ready || w.State == registry.Silent)
}

// mayHaveLoad tells whether the worker may be at work on requests.
func (w worker) mayHaveLoad() bool {
	return w.maybeAlive() || w.leaving() && !w.succeeded()
}

// leaving tells whether the worker has said that it leaves, and has not ended yet.
func (w worker) leaving() bool {
	return w.State == registry.Draining || w.saysLeaving && w.State != registry.Gone
}

// succeeded tells whether another worker has the address now.
func (w worker) succeeded() bool { return w.replaced || w.displaced }

// registered takes registrations that are newer than what is known.
func (t *transition) registered(ev Registered) {
	for _, r := range ev.Workers {
		t.registeredOne(ev.From, r)
	}
	t.forgetWorkers()
}

func (t *transition) registeredOne(from ident.Host, r registry.Worker) {
	have, known := t.workers.Get(r.ID)
	// A worker that is gone is remembered, so that an older registration from another
	// replica does not bring it back.
	if r.State == registry.Gone && known {
		r.Pool, r.Address, r.Zone, r.Slots = have.Pool, have.Address, have.Zone, have.Slots
	}
	record, newer := have.record.With(r)
	if !newer {
		return
	}
	next := have
	next.record, next.Worker = record, record.Worker()
	next.reportedBy, next.registeredAt = from, t.now
	next.coldUntil = t.now.Add(r.Cold)
	next.key, next.tag = hash.Of(string(r.ID)), loads.TagOf(r.ID)
	startedAgain := known && startedAgain(have.record, record)
	if startedAgain {
		next = next.startedAgain(t.now)
	}
	if have.Address != next.Address {
		next.replaced = false
	}
	if !known || have.State != next.State || startedAgain {
		t.out = append(t.out, WorkerChanged{
			Worker: next.Worker, Healthy: next.State == registry.Ready && !next.saysLeaving, Reason: why(startedAgain, from),
		})
	}
	t.workers = t.workers.With(r.ID, next)
	if startedAgain {
		t.loseAttempts(r.ID, have.life)
		t.processEnded(r.ID, have.life)
	}
	t.settleAddress(have.Address, next)
}

// why names what a change of a worker was learned from, for the log.
func why(startedAgain bool, from ident.Host) string {
	if startedAgain {
		return "it started again; registration, by " + string(from)
	}
	return "registration, by " + string(from)
}

// settleAddress notes where a worker is now, and which of the processes there, and where
// it was before, are displaced.
func (t *transition) settleAddress(before string, w worker) {
	t.addresses = t.addresses.With(w.Address, w.ID)
	if before != w.Address {
		t.addresses = t.addresses.Without(before, w.ID)
		t.findDisplaced(before)
	}
	t.findDisplaced(w.Address)
}

// findDisplaced finds the workers at an address that are displaced there.
func (t *transition) findDisplaced(address string) {
	for _, id := range t.addresses.At(address) {
		w, _ := t.workers.Get(id)
		if displaced := t.addresses.Displaced(w.Worker, t.Worker); displaced != w.displaced {
			w.displaced = displaced
			t.workers = t.workers.With(id, w)
			if displaced {
				t.processEnded(id, w.life)
			}
		}
	}
}

// lastState is the state by which the worker is forgotten. One that leaves is kept for as long as
// one that is gone, so that a late heartbeat does not make it available again.
func (w worker) lastState() registry.State {
	if w.saysLeaving && w.State == registry.Silent {
		return registry.Gone
	}
	return w.State
}

// forgetInterval is the time between two looks for workers to forget: a fraction of the
// times for which they are remembered.
const forgetInterval = 10 * time.Second

// forgetWorkers drops workers that are over for long, as replicas do.
func (t *transition) forgetWorkers() {
	if t.now.Sub(t.forgotAt) < forgetInterval {
		return
	}
	t.forgotAt = t.now
	for id, w := range t.workers.All() {
		if w.inFlight == 0 && registry.Over(w.lastState(), t.now.Sub(w.registeredAt)) {
			t.workers = t.workers.Without(id)
			t.addresses = t.addresses.Without(w.Address, id)
		}
	}
}
