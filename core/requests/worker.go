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

// worker is what this host knows of one worker. Its predicates are nested: an available worker is
// healthy, and a healthy worker may be alive.
type worker struct {
	// Worker is the merged state of its registrations.
	registry.Worker
	record registry.Record
	// registeredAt is when a registration last changed the record.
	registeredAt time.Time
	// key is the hash of the worker's id, for rendezvous hashing.
	key hash.Key
	tag loads.Tag
	// reportedBy is the host that last sent its registration.
	reportedBy ident.Host
	health     health.Target
	// inFlight is the number of this host's requests at the worker.
	inFlight int
	// selfReported is the number of other hosts' requests, as derived from the worker's own
	// report at selfReportedAt.
	selfReported   int
	selfReportedAt time.Time
	// incarnation counts the restarts of the worker under its id; restartedAt is when this host
	// learned of the last one.
	incarnation uint64
	restartedAt time.Time
	// displaced is set while a later process is registered at the worker's address, replaced once
	// another worker has answered there.
	displaced bool
	replaced  bool
	// declinedAt is when the worker last declined; it is avoided until avoidUntil.
	declinedAt time.Time
	avoidUntil time.Time
	// reportedLeaving is set once an answer said that the worker is leaving. backoffUntil is the
	// end of the backoff that it requested at backoffRequestedAt.
	reportedLeaving    bool
	backoffUntil       time.Time
	backoffRequestedAt time.Time
	// coldUntil is when the worker is warm; coldSentAt is when this host last sent it a request
	// while cold.
	coldUntil  time.Time
	coldSentAt time.Time
}

// available reports whether the worker may get new requests: it is healthy, has not just
// declined, and has no backoff.
func (w *worker) available(now time.Time) bool {
	return w.healthy(now) && !now.Before(w.avoidUntil) && w.backoffLeft(now) == 0
}

// healthy reports whether the worker is registered as ready, is not leaving, and is not ejected.
func (w *worker) healthy(now time.Time) bool {
	return w.State == registry.Ready && !w.addressTaken() && !w.reportedLeaving && w.health.Usable(now)
}

// mayBeAlive reports whether the worker may be used as a last resort.
func (w *worker) mayBeAlive() bool {
	return !w.addressTaken() && !w.reportedLeaving && (w.State == registry.Ready || w.State == registry.Silent)
}

// mayHaveLoad reports whether the worker may be running requests.
func (w *worker) mayHaveLoad() bool {
	return w.mayBeAlive() || w.leaving() && !w.addressTaken()
}

// leaving reports whether the worker has reported that it is shutting down, and has not ended
// yet.
func (w *worker) leaving() bool {
	return w.State == registry.Draining || w.reportedLeaving && w.State != registry.Gone
}

// addressTaken reports whether another worker has the address.
func (w *worker) addressTaken() bool { return w.replaced || w.displaced }

// handleRegistrations applies registrations that are newer than those known.
func (t *transition) handleRegistrations(ev Registered) {
	for _, r := range ev.Workers {
		t.handleRegistration(ev.From, r)
	}
	t.removeOldWorkers()
}

func (t *transition) handleRegistration(from ident.Host, r registry.Worker) {
	previous, known := t.workers.Get(r.ID)
	// Workers that are gone are kept, so that an older registration from another replica does not
	// make them available again.
	if r.State == registry.Gone && known {
		r.Pool, r.Address, r.Zone, r.Slots, r.Version = previous.Pool, previous.Address, previous.Zone, previous.Slots, previous.Version
	}
	record, newer := previous.record.With(r)
	if !newer {
		return
	}
	next := previous
	next.record, next.Worker = record, record.Worker()
	next.reportedBy, next.registeredAt = from, t.now
	next.coldUntil = t.now.Add(r.Cold)
	next.key, next.tag = hash.Of(string(r.ID)), loads.TagOf(r.ID)
	restarted := known && hasRestarted(previous.record, record)
	if restarted {
		next = next.restarted(t.now)
	}
	if previous.Address != next.Address {
		next.replaced = false
	}
	if !known || previous.State != next.State || restarted {
		t.out = append(t.out, WorkerChanged{
			Worker: next.Worker, Healthy: next.State == registry.Ready && !next.reportedLeaving, Reason: registrationReason(restarted, from),
		})
	}
	t.workers = t.workers.With(r.ID, next)
	t.recordVersion(previous.Worker, next.Worker)
	if restarted {
		t.abortAttempts(r.ID, previous.incarnation)
		t.recordProcessEnd(r.ID, previous.incarnation)
	}
	t.updateAddress(previous.Address, next)
}

// registrationReason describes, for the log, why a worker changed.
func registrationReason(restarted bool, from ident.Host) string {
	if restarted {
		return "it restarted; registration, by " + string(from)
	}
	return "registration, by " + string(from)
}

// updateAddress indexes a worker's address, and updates which workers there and at its previous
// address are displaced.
func (t *transition) updateAddress(before string, w worker) {
	t.addresses = t.addresses.With(w.Address, t.workers.find(w.ID).idOf())
	if before != w.Address {
		t.addresses = t.addresses.Without(before, w.ID)
		t.updateDisplaced(before)
	}
	t.updateDisplaced(w.Address)
}

// updateDisplaced updates which workers at an address are displaced by a later process there.
func (t *transition) updateDisplaced(address string) {
	here := t.addresses.At(address)
	for _, id := range here {
		w, known := t.workers.Get(id)
		if !known || w.Address != address {
			continue
		}
		if displaced := registry.Displaced(w.Worker, here, t.Worker); displaced != w.displaced {
			w.displaced = displaced
			t.workers = t.workers.With(id, w)
			if displaced {
				t.recordProcessEnd(id, w.incarnation)
			}
		}
	}
}

// retentionState returns the state that determines how long the worker is remembered. A silent
// worker that reported that it is leaving is kept as long as one that is gone, so that a late
// heartbeat does not make it available again.
func (w *worker) retentionState() registry.State {
	if w.reportedLeaving && w.State == registry.Silent {
		return registry.Gone
	}
	return w.State
}

// removalInterval is the time between removals of old workers, a fraction of the time for which
// they are remembered.
const removalInterval = 10 * time.Second

// removeOldWorkers drops workers that ended long ago, like the replicas do.
func (t *transition) removeOldWorkers() {
	if t.now.Sub(t.workersRemovedAt) < removalInterval {
		return
	}
	t.workersRemovedAt = t.now
	t.removeOldLives()
	for id, w := range t.workers.All() {
		if w.inFlight == 0 && registry.Over(w.retentionState(), t.now.Sub(w.registeredAt)) {
			t.workers = t.workers.Without(id)
			t.addresses = t.addresses.Without(w.Address, id)
		}
	}
	for _, w := range t.workers.Unpacked() {
		if settled := w.withoutExpired(t.now); settled != *w {
			t.workers = t.workers.With(w.ID, settled)
		}
	}
}
