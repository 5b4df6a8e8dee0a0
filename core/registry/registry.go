// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package registry holds what workers say of themselves: their registrations,
// as one replica heard them. It is soft state, rebuilt from heartbeats.
//
// # Usage
//
//	r, changed := r.WithBeat(worker, now)
//	entries, revision := r.After(seen, limit)
//	r = r.Expire(silentAfter, now)
//
// Each change gets a revision, so that hosts which follow the registry are sent
// only what they have not seen. Entries of several registries are joined with
// Newer.
package registry

import (
	"cmp"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// State is what is known of a worker's life.
type State uint8

// States, in the order in which they win over one another at equal sequence.
const (
	Ready State = iota
	// Silent workers have not been heard for long.
	Silent
	// Draining workers get no new work.
	Draining
	// Gone workers said that they end; this is final.
	Gone
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"ready", "silent", "draining", "gone"}[s]
}

// Worker is one registration.
type Worker struct {
	ID      ident.Target  `cbor:"1,keyasint"`
	Pool    ident.Service `cbor:"2,keyasint,omitempty"`
	Zone    ident.Zone    `cbor:"3,keyasint,omitempty"`
	Address string        `cbor:"4,keyasint,omitempty"`
	// Slots is how many requests it serves at once.
	Slots int   `cbor:"5,keyasint,omitempty"`
	State State `cbor:"6,keyasint,omitempty"`
	// Seq grows with each heartbeat of the worker.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
}

// Newer tells whether a says more recent things than b about the same worker.
func Newer(a, b Worker) bool {
	if a.State == Gone || b.State == Gone {
		return a.State == Gone && b.State != Gone
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.State > b.State
}

// entry is a worker with the time it was last seen.
type entry struct {
	worker   Worker
	lastSeen time.Time
	revision uint64
	// displaced counts the heartbeats since another process registered at the address.
	displaced int
}

// reclaimHeartbeats are the heartbeats after which a worker whose address another one has
// taken gets it back: a process that is gone leaves one or two on their way, not more.
const reclaimHeartbeats = 3

const (
	// forgetGone is how long a gone worker is remembered, so that a late
	// heartbeat does not bring it back. Chosen, not measured.
	forgetGone = 5 * time.Minute
	// forgetSilent is how long a silent one is. Chosen, not measured.
	forgetSilent = time.Minute
)

// Registry is the registrations taken here. It is immutable; the zero value is
// empty.
type Registry struct {
	workers  table.Table[ident.Target, entry]
	changes  table.Table[uint64, ident.Target]
	revision uint64
	// owners are the processes that registered last at each address. A heartbeat of an
	// earlier one may arrive late, and must not bring it back.
	owners table.Table[string, ident.Target]
}

// Revision counts the changes so far.
func (r Registry) Revision() uint64 { return r.revision }

// Ready returns how many workers are ready.
func (r Registry) Ready() int {
	n := 0
	for _, e := range r.workers.All() {
		if e.worker.State == Ready {
			n++
		}
	}
	return n
}

// ByID orders workers by their ids.
func ByID(a, b Worker) int { return cmp.Compare(a.ID, b.ID) }

// Len returns how many workers are known.
func (r Registry) Len() int { return r.workers.Len() }

// Get returns a worker as last seen.
func (r Registry) Get(id ident.Target) (Worker, bool) {
	e, ok := r.workers.Get(id)
	return e.worker, ok
}

// WithHeartbeat takes a heartbeat. Late ones are ignored; changed tells whether the
// worker's state, address or zone is other than before.
func (r Registry) WithHeartbeat(w Worker, now time.Time) (next Registry, changed bool) {
	have, known := r.workers.Get(w.ID)
	if known && !Newer(w, have.worker) && !revives(w, have.worker) {
		return r, false
	}
	if known && r.isDisplaced(w) {
		have.displaced++
		if have.displaced < reclaimHeartbeats {
			r.workers = r.workers.With(w.ID, have)
			return r, false
		}
	}
	old := have.worker
	old.Seq = w.Seq
	if known && old == w {
		have.worker, have.lastSeen = w, now
		r.workers = r.workers.With(w.ID, have)
		return r, false
	}
	return r.displaceFrom(w.Address, w.ID).with(w, now), true
}

// isDisplaced tells whether another process registered later at a worker's address.
func (r Registry) isDisplaced(w Worker) bool {
	holder, ok := r.owners.Get(w.Address)
	return ok && holder != w.ID
}

// displaceFrom gives an address to a process: the one that held it gets no more work.
func (r Registry) displaceFrom(address string, to ident.Target) Registry {
	if address == "" {
		return r
	}
	holder, held := r.owners.Get(address)
	r.owners = r.owners.With(address, to)
	e, known := r.workers.Get(holder)
	if !held || holder == to || !known || e.worker.State != Ready || e.worker.Address != address {
		return r
	}
	e.worker.State = Silent
	return r.with(e.worker, e.lastSeen)
}

// revives tells whether a heartbeat of a silent worker shows that it lives.
func revives(w, have Worker) bool { return have.State == Silent && w.Seq > have.Seq }

// WithGone records that a worker ends.
func (r Registry) WithGone(id ident.Target, now time.Time) (next Registry, changed bool) {
	have, _ := r.workers.Get(id)
	if have.worker.State == Gone {
		return r, false
	}
	w := have.worker
	w.ID, w.State = id, Gone
	return r.with(w, now), true
}

func (r Registry) with(w Worker, now time.Time) Registry {
	if have, ok := r.workers.Get(w.ID); ok {
		r.changes = r.changes.Without(have.revision)
	}
	r.revision++
	r.changes = r.changes.With(r.revision, w.ID)
	r.workers = r.workers.With(w.ID, entry{worker: w, lastSeen: now, revision: r.revision})
	return r
}

// WithReport takes what another registry reports of a worker.
func (r Registry) WithReport(w Worker, now time.Time) Registry {
	have, known := r.workers.Get(w.ID)
	if known && !Newer(w, have.worker) {
		return r
	}
	return r.with(w, now)
}

// Forget drops workers that are over for long.
func (r Registry) Forget(now time.Time) Registry {
	for id, e := range r.workers.All() {
		if e.over(now) {
			r.workers = r.workers.Without(id)
			r.changes = r.changes.Without(e.revision)
			if holder, _ := r.owners.Get(e.worker.Address); holder == id {
				r.owners = r.owners.Without(e.worker.Address)
			}
		}
	}
	return r
}

// over tells whether the worker has been gone or silent for so long that it may be
// forgotten.
func (e entry) over(now time.Time) bool {
	age := now.Sub(e.lastSeen)
	return e.worker.State == Gone && age > forgetGone || e.worker.State == Silent && age > forgetSilent
}

// Expire marks workers silent that were not seen for silentAfter and forgets
// those that are over for long.
func (r Registry) Expire(silentAfter time.Duration, now time.Time) (next Registry, changed bool) {
	r = r.Forget(now)
	for _, e := range r.workers.All() {
		if e.worker.State != Gone && e.worker.State != Silent && now.Sub(e.lastSeen) > silentAfter {
			w := e.worker
			w.State = Silent
			r = r.with(w, e.lastSeen)
			changed = true
		}
	}
	return r, changed
}

// After returns the workers changed after a revision, at most limit of them, and
// the revision that they lead to.
func (r Registry) After(revision uint64, limit int) ([]Worker, uint64) {
	if revision == r.revision {
		return nil, r.revision
	}
	var out []Worker
	for at, id := range r.changes.From(revision + 1) {
		e, _ := r.workers.Get(id)
		out = append(out, e.worker)
		if len(out) == limit {
			return out, at
		}
	}
	return out, r.revision
}
