// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package registry holds the registrations of workers, as received by one replica. It is soft
// state, rebuilt from heartbeats.
//
// # Usage
//
//	r, changed := r.WithHeartbeat(worker, now)
//	entries, revision := r.After(seen, limit, now)
//	r = r.Expire(silentAfter, now)
//
// Each change gets a revision, so that hosts which follow the registry are sent only the changes
// that they lack. Reports of several registries are merged in a Record; a worker that restarts under
// its id is another Incarnation.
package registry

import (
	"cmp"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// State is the lifecycle state of a worker.
type State uint8

// States, in increasing precedence at equal sequence numbers.
const (
	Ready State = iota
	// Silent workers have sent no heartbeat for too long.
	Silent
	// Draining workers get no new requests.
	Draining
	// Gone workers have deregistered; this is final.
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
	// Slots is the number of requests it serves at a time.
	Slots int   `cbor:"5,keyasint,omitempty"`
	State State `cbor:"6,keyasint,omitempty"`
	// Seq grows with each heartbeat of one incarnation.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
	// Born is the incarnation; 0 if the worker does not report it.
	Born Incarnation `cbor:"8,keyasint,omitempty"`
	// Cold is how much longer the worker is cold, as of when this is sent: it sustains few requests
	// a second until then. 0 if it is warm or does not report it.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
	// Version is the version of the worker's software; empty if the worker does not report it.
	Version ident.Version `cbor:"10,keyasint,omitempty"`
}

// entry is a worker with the time it was last seen.
type entry struct {
	record   Record
	lastSeen time.Time
	revision uint64
	// displaced counts the heartbeats since another process registered at the address.
	displaced int
	claim     claim
	// life is that of the process whose heartbeats arrive here, previousLife that of the one before it.
	life         Life
	previousLife Life
}

const (
	// returnPause is the pause between heartbeats after which a worker that has sent others meanwhile
	// has probably sent them to another registry. That one will take it for silent, so this one must
	// report the later heartbeat although nothing else has changed. It exceeds the interval of
	// relays' reports.
	returnPause = 2 * time.Second
)

// Registry holds the registrations accepted here. It is immutable; the zero value is empty.
type Registry struct {
	workers  table.Table[ident.Target, entry]
	changes  table.Table[uint64, ident.Target]
	revision uint64
	// owners maps each address to the process that registered there last. A delayed heartbeat of an
	// earlier one must not register it again.
	owners table.Table[string, ident.Target]
	// ended counts the workers that are gone or silent; digest is that of all workers.
	ended  int
	digest Digest
}

// Revision returns the number of changes so far.
func (r Registry) Revision() uint64 { return r.revision }

// Ready returns the number of ready workers.
func (r Registry) Ready() int {
	n := 0
	for _, e := range r.workers.All() {
		if e.worker().State == Ready {
			n++
		}
	}
	return n
}

// ByID orders workers by their ids.
func ByID(a, b Worker) int { return cmp.Compare(a.ID, b.ID) }

// Len returns the number of known workers.
func (r Registry) Len() int { return r.workers.Len() }

// Get returns a worker as last seen.
func (r Registry) Get(id ident.Target) (Worker, bool) {
	e, ok := r.workers.Get(id)
	return e.record.Worker(), ok
}

// WithHeartbeat applies a heartbeat. Delayed ones, and those of earlier processes, are ignored;
// changed reports whether the worker's incarnation, state, address or zone has changed.
func (r Registry) WithHeartbeat(w Worker, now time.Time) (next Registry, changed bool) {
	return r.withHeartbeat(w, now, false)
}

// WithRelayedHeartbeat applies a heartbeat that a relay reports.
func (r Registry) WithRelayedHeartbeat(w Worker, now time.Time) (next Registry, changed bool) {
	return r.withHeartbeat(w, now, true)
}

func (r Registry) withHeartbeat(w Worker, now time.Time, relayed bool) (next Registry, changed bool) {
	e, known := r.workers.Get(w.ID)
	if !known {
		return r.withFirst(w, now, relayed), true
	}
	isDated := w.Born != 0
	w, e, counts := e.identified(w)
	if have := e.record.Worker(); !counts || w.Born == have.Born && !Newer(w, have) && !revives(w, have) {
		r.workers = r.workers.With(w.ID, e)
		return r, false
	}
	if r.isDisplaced(w) {
		e.displaced++
		if e.displaced < reclaimHeartbeats {
			r.workers = r.workers.With(w.ID, e)
			return r, false
		}
	}
	if isDated {
		e = e.withLife(w, now, relayed)
	}
	old := e.record.Worker()
	returned := w.Seq > old.Seq+1 && now.Sub(e.lastSeen) > returnPause
	old.Seq, old.Cold = w.Seq, w.Cold
	if old == w && e.isAsCold(w, now) {
		e.record = RecordOf(w)
		if returned {
			return r.withEntry(w.ID, e, now), false
		}
		e.lastSeen = now
		r.workers = r.workers.With(w.ID, e)
		return r, false
	}
	e.displaced = 0
	return r.displaceFrom(w.Address, w.ID).with(e, w, now), true
}

// withFirst adds an unknown worker. One that seems to be an earlier process at its address is silent
// until further heartbeats show that it is alive.
func (r Registry) withFirst(w Worker, now time.Time, relayed bool) Registry {
	e := entry{}.withLife(w, now, relayed)
	if w.State == Ready && r.succeededAt(w) {
		w.State = Silent
		e.displaced = 1
		return r.with(e, w, now)
	}
	return r.displaceFrom(w.Address, w.ID).with(e, w, now)
}

// revives reports whether a heartbeat of a silent worker shows that it is alive.
func revives(w, have Worker) bool { return have.State == Silent && w.Seq > have.Seq }

// WithGone records that an incarnation of a worker has ended; born 0 stands for the known one.
func (r Registry) WithGone(id ident.Target, born Incarnation, now time.Time) (next Registry, changed bool) {
	e, _ := r.workers.Get(id)
	have := e.record.Worker()
	born = e.claim.incarnationOf(born)
	if have.State == Gone && !born.succeeds(have.Born) || have.Born.succeeds(born) {
		return r, false
	}
	w := have
	w.ID, w.State = id, Gone
	if born != 0 && born != have.Born {
		w.Born, w.Seq = born, 0
	}
	return r.with(e, w, now), true
}

// with replaces a worker's record.
func (r Registry) with(e entry, w Worker, now time.Time) Registry {
	e.record = RecordOf(w)
	return r.withEntry(w.ID, e, now)
}

func (r Registry) withEntry(id ident.Target, e entry, now time.Time) Registry {
	if have, ok := r.workers.Get(id); ok {
		r.changes = r.changes.Without(have.revision)
		r.ended -= have.endedCount()
		r.digest -= have.worker().digest()
	}
	r.ended += e.endedCount()
	r.digest += e.worker().digest()
	r.revision++
	r.changes = r.changes.With(r.revision, id)
	e.lastSeen, e.revision = now, r.revision
	r.workers = r.workers.With(id, e)
	return r
}

// WithReport merges another registry's report of a worker. Which of two processes at one address
// gets requests is decided by the hosts that send them: see Addresses.
func (r Registry) WithReport(w Worker, now time.Time) Registry {
	e, _ := r.workers.Get(w.ID)
	next, changed := e.record.With(w)
	if !changed {
		return r
	}
	e.record = next
	return r.withEntry(w.ID, e, now)
}

// worker returns the worker by its merged record.
func (e entry) worker() Worker { return e.record.Worker() }

// endedCount is 1 if the worker is gone or silent, and else 0.
func (e entry) endedCount() int {
	if s := e.worker().State; s == Gone || s == Silent {
		return 1
	}
	return 0
}

// InZone returns the workers of a zone that are not gone, as of now.
func (r Registry) InZone(zone ident.Zone, now time.Time) []Worker {
	var out []Worker
	for _, e := range r.workers.All() {
		if w := e.worker(); w.Zone == zone && w.State != Gone {
			out = append(out, w.asOf(e.lastSeen, now))
		}
	}
	return out
}

// After returns the workers changed after a revision, as of now, at most limit of them, and the last
// revision among them.
func (r Registry) After(revision uint64, limit int, now time.Time) ([]Worker, uint64) {
	if revision == r.revision {
		return nil, r.revision
	}
	var out []Worker
	for at, id := range r.changes.From(revision + 1) {
		e, _ := r.workers.Get(id)
		out = append(out, e.worker().asOf(e.lastSeen, now))
		if len(out) == limit {
			return out, at
		}
	}
	return out, r.revision
}
