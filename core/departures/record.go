// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package departures

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

const (
	// Retention is how long a replica keeps a departure on its disk. Heartbeats that were sent before a
	// departure arrive seconds after it, also at a replica that has started anew meanwhile.
	Retention = 5 * time.Minute
	// maxRecorded bounds a Record by the workers that a replica remembers; the oldest departures give way.
	maxRecorded = 1 << 15
)

// Record holds the departures that a replica keeps on its disk: those that workers reported to it, and those
// that other replicas relayed. It is immutable; the zero value is empty.
type Record struct {
	log Log
	// persisted is the position up to which departures are on disk.
	persisted uint64
}

// Entry is a departure of a Record, as of when this replica learned of it.
type Entry struct {
	Worker registry.Worker
	Since  time.Time
}

// With returns the record with a worker that leaves. Other workers, and reports no newer than the known one,
// change nothing.
func (r Record) With(w registry.Worker, now time.Time) Record {
	r.log = r.log.With(w, Registered, now)
	if r.log.Len() > maxRecorded {
		r.log = r.log.withoutOldest()
	}
	return r
}

// Without returns the record without a worker, which has started again.
func (r Record) Without(id ident.Target) Record {
	if at, known := r.log.positions.Get(id); known {
		r.log.byPosition, r.log.positions = r.log.byPosition.Without(at), r.log.positions.Without(id)
		r.log.newest++
	}
	return r
}

// Get returns the departure of a worker.
func (r Record) Get(id ident.Target) (registry.Worker, bool) {
	at, known := r.log.positions.Get(id)
	d, _ := r.log.byPosition.Get(at)
	return d.worker, known
}

// Position grows with each change.
func (r Record) Position() uint64 { return r.log.newest }

// WithPersisted returns the record after all departures up to a position were written to disk.
func (r Record) WithPersisted(position uint64) Record {
	r.persisted = max(r.persisted, position)
	return r
}

// IsPersisted reports whether a worker's departure is on disk.
func (r Record) IsPersisted(id ident.Target) bool {
	at, known := r.log.positions.Get(id)
	return known && at <= r.persisted
}

// Entries returns the departures, the oldest first.
func (r Record) Entries() []Entry { return r.after(0) }

// Unpersisted returns the departures that are not on disk.
func (r Record) Unpersisted() []Entry { return r.after(r.persisted) }

func (r Record) after(position uint64) []Entry {
	var out []Entry
	for _, d := range r.log.byPosition.From(position + 1) {
		out = append(out, Entry{Worker: d.worker, Since: d.since})
	}
	return out
}

// Forget returns the record without the departures that are older than Retention.
func (r Record) Forget(now time.Time) Record {
	r.log = r.log.forgetOlder(Retention, now)
	return r
}
