// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"
	"unique"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
)

// Each host knows every worker of the fleet and uses few of them. A worker of which nothing but its
// registration is known is held as a packed member of its pool, in some 150 bytes with its indexes;
// the full worker, of some 700, is held only while it says more.

// placement is what many workers share. It is interned.
type placement struct {
	pool       ident.Service
	zone       ident.Zone
	slots      int
	reportedBy ident.Host
	version    ident.Version
}

// member is a worker of a pool, packed so that scanning a pool of thousands reads little memory.
type member struct {
	// names holds the worker's id, of idLength bytes, and then its address.
	names     string
	placement unique.Handle[placement]
	key       hash.Key
	seq       uint64
	born      registry.Incarnation
	// registeredAt is the time from the set's base, plus 1; 0 for the zero time.
	registeredAt time.Duration
	// full is the worker if the other fields do not say everything of it; nil otherwise.
	full     *worker
	idLength uint16
	state    registry.State
}

// idOf returns the worker's id.
func (m *member) idOf() ident.Target { return ident.Target(m.names[:m.idLength]) }

// packWorker returns a worker as a member; base is the set's base time. names are those of its
// previous member, so that the address index and the member go on sharing them.
func packWorker(w *worker, base time.Time, names string) member {
	if names != string(w.ID)+w.Address {
		names = string(w.ID) + w.Address
	}
	m := member{
		names: names, key: w.key, seq: w.Seq, born: w.Born, idLength: uint16(len(w.ID)), state: w.State, //nolint:gosec // Ids are bounded by package registry.
		placement: unique.Make(placement{
			pool: w.Pool, zone: w.Zone, slots: w.Slots, reportedBy: w.reportedBy, version: w.Version,
		}),
	}
	if !w.registeredAt.IsZero() {
		m.registeredAt = w.registeredAt.Sub(base) + 1
	}
	if !m.isAll(w, base) {
		m.full = w
	}
	return m
}

// isAll reports whether the packed fields say everything of a worker.
func (m *member) isAll(w *worker, base time.Time) bool {
	only, ok := w.record.Only()
	if !ok || only != w.Worker || w.coldUntil.After(w.registeredAt) {
		return false
	}
	packed := m.worker(base)
	packed.record, packed.registeredAt, packed.coldUntil = w.record, w.registeredAt, w.coldUntil
	return packed == *w
}

// worker returns the worker; base is the set's base time.
func (m *member) worker(base time.Time) worker {
	if m.full != nil {
		return *m.full
	}
	p := m.placement.Value()
	w := worker{
		Worker: registry.Worker{
			ID: m.idOf(), Pool: p.pool, Zone: p.zone, Address: m.names[m.idLength:], Slots: p.slots, State: m.state, Seq: m.seq, Born: m.born,
			Version: p.version,
		},
		key: m.key, tag: loads.TagOfKey(m.key), reportedBy: p.reportedBy,
	}
	w.record = registry.RecordOf(w.Worker)
	if m.registeredAt > 0 {
		w.registeredAt = base.Add(m.registeredAt - 1)
		w.coldUntil = w.registeredAt
	}
	return w
}

// isAvailable reports whether the worker is known to be available in a zone that is reachable and
// not drained, without unpacking it.
func (m *member) isAvailable(now time.Time) bool {
	if m.state != registry.Ready {
		return false
	}
	w := m.full
	return w == nil || w.available(now) && w.health.Listing == health.Unlisted && !now.Before(w.coldUntil)
}

// forgetAfter is how long after its last use a worker's failures and declines are remembered.
const forgetAfter = time.Minute

// withoutExpired returns the worker without what no longer affects any decision.
func (w worker) withoutExpired(now time.Time) worker {
	if w.inFlight > 0 || w.incarnation > 0 || w.reportedLeaving || w.addressTaken() || now.Before(w.coldUntil) {
		return w
	}
	if !now.Before(w.avoidUntil) {
		w.avoidUntil = time.Time{}
	}
	if !now.Before(w.backoffUntil) {
		w.backoffUntil, w.backoffRequestedAt = time.Time{}, time.Time{}
	}
	if now.Sub(w.declinedAt) > forgetAfter {
		w.declinedAt = time.Time{}
	}
	if now.Sub(w.selfReportedAt) > reportLifetime {
		w.selfReported, w.selfReportedAt = 0, time.Time{}
	}
	if w.health.IsForgettable(now, forgetAfter) {
		w.health = health.Target{}
	}
	w.coldSentAt, w.coldUntil = time.Time{}, time.Time{}
	if only, ok := w.record.Only(); ok && only.Cold > 0 {
		w.Cold, only.Cold = 0, 0
		w.record = registry.RecordOf(only)
	}
	return w
}
